import {describe, expect, it} from 'vitest';
import {
	acknowledgeDeath,
	createServingEntry,
	listRefusals,
	failBackend,
	filterEffects,
	findStart,
} from '../fixture.js';

const cursor = {
	customer: 'label',
	requestId: 'r-s',
	generation: 'g-old',
	backend: 'e1',
	attempt: 1,
	entry: 'entry-2',
	offset: 7,
};

describe('streams', () => {
	it('continue on another backend server after a death, reported once', () => {
		const entry = createServingEntry();
		const first = findStart(entry.requestGeneration('s', {digest: 'x'}));
		const lost = failBackend(entry, 's');
		acknowledgeDeath(entry, first.backend);
		entry.now = 50;
		expect(findStart(entry.tick()).backend).not.toBe(first.backend);
		expect(filterEffects(lost, 'report-death')).toMatchObject([
			{backend: first.backend, digests: ['label/x']},
		]);
		expect(filterEffects(lost, 'cancel-attempt')).toMatchObject([{attempt: 1}]);
	});

	it('wait for a free slot and start when there is one', () => {
		const entry = createServingEntry();
		entry.renewAlone();
		const started = ['a', 'b', 'c', 'd', 'e'].map(
			(id) =>
				filterEffects(entry.requestGeneration(id), 'start-attempt').length,
		);
		expect(started).toEqual([1, 1, 1, 1, 0]);
		entry.apply({kind: 'caller-left', stream: 'a', now: 0, random: 0.5});
		expect(filterEffects(entry.tick(), 'start-attempt')).toEqual([]);
		entry.now = 10_000;
		entry.announce('e1');
		entry.announce('e2');
		expect(filterEffects(entry.tick(), 'start-attempt')).toMatchObject([
			{stream: 'e'},
		]);
	});

	it('are resumed on the same engine with an authenticated cursor', () => {
		const entry = createServingEntry();
		const effects = entry.requestGeneration('s', {cursor, hasDelivered: true});
		expect(filterEffects(effects, 'resume-attempt')).toMatchObject([
			{backend: 'e1', generation: 'g-old', offset: 7},
		]);
		expect(filterEffects(effects, 'release-generation')).toMatchObject([
			{address: 'http://entry-2'},
		]);
	});

	it('use attempt numbers above those that the previous entry may use', () => {
		const entry = createServingEntry();
		entry.requestGeneration('s', {cursor, hasDelivered: true});
		const first = failBackend(entry, 's');
		acknowledgeDeath(entry, 'e1');
		entry.now = 500;
		const started = findStart([...first, ...entry.tick()]);
		expect(started.attempt).toBeGreaterThan(cursor.attempt + 8);
	});

	it('refuse the cursor of another request', () => {
		const entry = createServingEntry();
		const other = {...cursor, requestId: 'other'};
		const effects = entry.requestGeneration('s', {cursor: other});
		expect(listRefusals(effects)).toEqual(['invalid-cursor']);
	});

	it('never restart when the delivered tokens are missing', () => {
		const entry = createServingEntry();
		entry.requestGeneration('s', {cursor});
		const lost = failBackend(entry, 's');
		expect(filterEffects(lost, 'start-attempt')).toEqual([]);
		expect(listRefusals(lost)).toEqual(['prefix-missing']);
	});

	it('refuse a quarantined request immediately', () => {
		const entry = createServingEntry();
		entry.apply({
			kind: 'quarantine-learned',
			quarantine: {
				version: 1,
				suspects: [],
				held: [],
				convicted: ['label/bad'],
			},
			now: 0,
			random: 0,
		});
		const effects = entry.requestGeneration('s', {digest: 'bad'});
		expect(listRefusals(effects)).toEqual(['quarantined']);
	});

	it('end immediately when their request is quarantined while it runs', () => {
		const entry = createServingEntry();
		entry.requestGeneration('s', {digest: 'bad'});
		const effects = entry.apply({
			kind: 'quarantine-learned',
			quarantine: {
				version: 1,
				suspects: [],
				held: [],
				convicted: ['label/bad'],
			},
			now: 0,
			random: 0,
		});
		expect(listRefusals(effects)).toEqual(['quarantined']);
		expect(filterEffects(effects, 'cancel-attempt')).toHaveLength(1);
		expect(entry.state.streams.size).toBe(0);
	});

	it('are cancelled when their caller does not reconnect', () => {
		const entry = createServingEntry();
		entry.requestGeneration('s');
		const left = entry.apply({
			kind: 'caller-left',
			stream: 's',
			now: 0,
			random: 0,
		});
		expect(filterEffects(left, 'cancel-attempt')).toEqual([]);
		entry.now = 9999;
		expect(filterEffects(entry.tick(), 'cancel-attempt')).toEqual([]);
		entry.now = 10_000;
		expect(filterEffects(entry.tick(), 'cancel-attempt')).toHaveLength(1);
	});

	it('are not cancelled when another entry serves the caller', () => {
		const entry = createServingEntry();
		entry.requestGeneration('s');
		entry.apply({kind: 'caller-left', stream: 's', now: 0, random: 0});
		entry.apply({kind: 'generation-released', generation: 'g-s'});
		entry.now = 20_000;
		expect(filterEffects(entry.tick(), 'cancel-attempt')).toEqual([]);
	});
});
