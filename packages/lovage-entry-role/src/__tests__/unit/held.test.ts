import {describe, expect, it} from 'vitest';
import {
	createServingEntry,
	listRefusals,
	loseBackend,
	pick,
	startOf,
	type EntryDriver,
} from '../fixture.js';

/** An entry with a stream that lost its backend server twice. */
function createTwiceLost() {
	const entry = createServingEntry();
	entry.announce('e3');
	entry.requestGeneration('s', {digest: 'x'});
	const first = loseBackend(entry, 's');
	const {backend} = startOf(first);
	const second = loseBackend(entry, 's');
	return {entry, first, second, backend};
}

function acknowledge(
	entry: EntryDriver,
	backend: string,
	held: readonly string[] = [],
	convicted: readonly string[] = [],
) {
	return entry.apply({
		kind: 'deaths-acknowledged',
		deaths: [{backend, incarnation: 1}],
		quarantine: {version: 2, suspects: ['label/x'], held, convicted},
		now: entry.now,
		random: 0.5,
	});
}

describe('a request whose backend servers die', () => {
	it('goes on at once after the first death', () => {
		const {first} = createTwiceLost();
		expect(pick(first, 'start-attempt')).toHaveLength(1);
	});

	it('waits after the second until the control group knows of it', () => {
		const {entry, second, backend} = createTwiceLost();
		expect(pick(second, 'start-attempt')).toEqual([]);
		expect(pick(acknowledge(entry, backend), 'start-attempt')).toEqual([]);
		entry.now = 50;
		expect(pick(entry.tick(), 'start-attempt')).toHaveLength(1);
	});

	it('waits as long as it is held, then gets the verdict', () => {
		const {entry, backend} = createTwiceLost();
		acknowledge(entry, backend, ['label/x']);
		entry.now = 9000;
		entry.renew();
		entry.announce('e1');
		expect(entry.tick()).toEqual([]);
		const effects = entry.apply({
			kind: 'quarantine-learned',
			quarantine: {version: 3, suspects: [], held: [], convicted: ['label/x']},
			now: entry.now,
			random: 0.5,
		});
		expect(listRefusals(effects)).toEqual(['quarantined']);
	});

	it('is given up when no quorum takes the report', () => {
		const {entry} = createTwiceLost();
		entry.now = 3999;
		expect(listRefusals(entry.tick())).toEqual([]);
		entry.now = 4000;
		const [refused] = pick(entry.tick(), 'refuse-stream');
		expect(refused!.refusal.retryAfterMs).toBeGreaterThan(0);
	});
});

describe('a request of a service without backend servers', () => {
	it('is given up after a while', () => {
		const entry = createServingEntry();
		['e1', 'e2'].forEach((id) => {
			entry.announce(id, {state: 'leaving', sequence: 1});
		});
		entry.requestGeneration('s');
		entry.tick();
		entry.now = 14_999;
		expect(listRefusals(entry.tick())).toEqual([]);
		entry.now = 15_000;
		expect(listRefusals(entry.tick())).toEqual(['no-backend-server']);
	});
});
