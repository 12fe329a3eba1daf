import {describe, expect, it} from 'vitest';
import {isLeaving, listAddresses} from '../../index.js';
import {createServingEntry, listRefusals, filterEffects} from '../fixture.js';

describe('drain', () => {
	it('serves until the last address list with the entry has expired', () => {
		const entry = createServingEntry();
		entry.apply({kind: 'drain-requested', now: 0});
		entry.now = 500;
		entry.renew();
		entry.now = 12_499;
		entry.renew();
		entry.announce('e1');
		entry.tick();
		expect(
			filterEffects(entry.requestGeneration('s'), 'start-attempt'),
		).toHaveLength(1);
		entry.now = 12_500;
		expect(filterEffects(entry.tick(), 'drained')).toEqual([]);
		expect(listRefusals(entry.requestGeneration('t'))).toEqual(['draining']);
	});

	it('ends once all open work has finished', () => {
		const entry = createServingEntry();
		entry.requestGeneration('s');
		entry.apply({kind: 'drain-requested', now: 0});
		entry.renew();
		entry.now = 12_000;
		expect(filterEffects(entry.tick(), 'drained')).toEqual([]);
		entry.apply({
			kind: 'generation-event',
			stream: 's',
			event: {
				kind: 'end-received',
				connection: 1,
				generation: 'g-s',
				attempt: 1,
				total: 0,
				now: entry.now,
			},
			random: 0,
		});
		expect(filterEffects(entry.tick(), 'drained')).toHaveLength(1);
	});

	it('lists the other entries, those of its data centre first', () => {
		const entry = createServingEntry();
		const list = () =>
			listAddresses(
				entry.state.options,
				entry.state.lease,
				isLeaving(entry.state),
				'label',
			);
		expect(list().toSorted()).toEqual([
			'http://10.0.0.1',
			'http://entry-2',
			'http://entry-3',
		]);
		expect(list().at(-1)).toBe('http://entry-3');
		entry.apply({kind: 'drain-requested', now: 0});
		expect(list()).toEqual(['http://entry-2', 'http://entry-3']);
	});
});
