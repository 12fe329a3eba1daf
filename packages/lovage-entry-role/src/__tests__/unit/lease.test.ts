import {describe, expect, it} from 'vitest';
import {
	createServingEntry,
	EntryDriver,
	listRefusals,
	filterEffects,
} from '../fixture.js';

describe('lease', () => {
	it('accepts no work before the first renewal', () => {
		const entry = new EntryDriver();
		expect(listRefusals(entry.requestGeneration('s'))).toEqual(['no-lease']);
	});

	it('accepts no work after it has expired, as after a pause of the process', () => {
		const entry = createServingEntry();
		entry.now = 3000;
		expect(listRefusals(entry.requestGeneration('s'))).toEqual(['no-lease']);
		expect(listRefusals(entry.requestCall('c'))).toEqual(['no-lease']);
	});

	it('counts from the time of the renewal request', () => {
		const entry = createServingEntry();
		entry.now = 2000;
		entry.apply({
			kind: 'lease-granted',
			askedAt: 500,
			now: 2000,
			grant: {leaseMs: 3000, version: 1, entries: []},
		});
		entry.now = 3500;
		expect(listRefusals(entry.requestGeneration('s'))).toEqual(['no-lease']);
	});

	it('never returns to an older version', () => {
		const entry = createServingEntry();
		entry.renew(5);
		entry.now = 1000;
		entry.renew(4);
		expect(entry.state.lease.version).toBe(5);
		expect(entry.state.lease.expiresAt).toBe(3000);
	});

	it('lets a running generation continue after it has expired', () => {
		const entry = createServingEntry();
		entry.requestGeneration('s');
		entry.now = 4000;
		const effects = entry.apply({
			kind: 'generation-event',
			stream: 's',
			event: {
				kind: 'chunk-received',
				connection: 1,
				generation: 'g-s',
				attempt: 1,
				offset: 0,
				count: 2,
				now: entry.now,
			},
			random: 0,
		});
		expect(filterEffects(effects, 'deliver-tokens')).toMatchObject([
			{count: 2},
		]);
	});
});
