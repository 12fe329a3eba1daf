import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	ALL_GUARDS,
	countWaiting,
	createAdmission,
	stepAdmission,
	type AdmissionEffect,
	type AdmissionEvent,
	type AdmissionGuards,
	type AdmissionState,
	type WaitingRequest,
} from '../../index.js';

const SEED = 5502;
const QUEUE_LENGTH = 8;

function createQueue(guards: Partial<AdmissionGuards> = {}) {
	return createAdmission({
		queueLength: QUEUE_LENGTH,
		resumedLength: 8,
		retryShare: 0.1,
		shares: {large: 2},
		oldestEvery: 4,
		guards: {...ALL_GUARDS, ...guards},
	});
}

function request(
	id: string,
	change: Partial<WaitingRequest> = {},
): WaitingRequest {
	return {
		id,
		customer: 'a',
		priority: 0,
		cost: 1,
		durationMs: 100,
		...change,
	};
}

function createArrival(item: WaitingRequest, now = 0): AdmissionEvent {
	return {kind: 'request-arrived', request: item, now};
}

function run(state: AdmissionState, events: readonly AdmissionEvent[]) {
	const effects: AdmissionEffect[] = [];
	const last = events.reduce((current, event) => {
		const transition = stepAdmission(current, event);
		effects.push(...transition.effects);
		return transition.state;
	}, state);
	return {state: last, effects};
}

function listStarted(effects: readonly AdmissionEffect[]) {
	return effects.filter((effect) => effect.kind === 'start').map(({id}) => id);
}

describe('order', () => {
	it('starts resumed work, then priority, then the earliest deadline', () => {
		const {effects} = run(createQueue(), [
			createArrival(request('late', {deadline: 9000})),
			createArrival(request('early', {deadline: 5000})),
			createArrival(request('first', {priority: 3})),
			{
				kind: 'resumed-arrived',
				request: {id: 'resumed', retries: 1, isDelivered: true},
				now: 1,
			},
			{kind: 'capacity', freeSlots: 3, now: 2},
		]);
		expect(listStarted(effects)).toEqual(['resumed', 'first', 'early']);
	});

	it('starts requests in proportion to shares while both customers wait', () => {
		const fill = (customer: string, now: number) =>
			Array.from({length: 4}, (_, i) =>
				createArrival(request(`${customer}${now}${i}`, {customer}), now),
			);
		let {state} = run(createQueue(), [...fill('large', 0), ...fill('a', 0)]);
		const counts = {large: 0, a: 0};
		Array.from({length: 30}, (_, i) => i).forEach((i) => {
			const step = run(state, [
				{kind: 'capacity', freeSlots: 1, now: i},
				{kind: 'capacity', freeSlots: 0, now: i},
			]);
			const id = listStarted(step.effects)[0]!;
			const customer = id.startsWith('large') ? 'large' : 'a';
			counts[customer]++;
			state = run(step.state, [
				createArrival(request(`${customer}-${i}`, {customer}), i),
			]).state;
		});
		expect(counts.large).toBeGreaterThanOrEqual(17);
		expect(counts.large).toBeLessThanOrEqual(22);
	});

	it.each([
		[true, true],
		[false, false],
	])('with oldestFirst %s, a low-priority request starts: %s', (on, starts) => {
		let {state} = run(createQueue({oldestFirst: on}), [
			createArrival(request('low')),
		]);
		const all = Array.from({length: 20}, (_, i) => {
			const step = run(state, [
				createArrival(request(`h${i}`, {priority: 9}), i),
				createArrival(request(`k${i}`, {priority: 9}), i),
				{kind: 'capacity', freeSlots: 1, now: i},
			]);
			state = step.state;
			return listStarted(step.effects);
		}).flat();
		expect(all.includes('low')).toBe(starts);
	});
});

describe('refusal', () => {
	it('evicts from a batch that fills the queue when another customer arrives', () => {
		const batch = Array.from({length: QUEUE_LENGTH}, (_, i) =>
			createArrival(request(`b${i}`, {customer: 'batch'})),
		);
		const {state, effects} = run(createQueue(), [
			...batch,
			createArrival(request('brief')),
		]);
		expect(effects).toMatchObject([
			{kind: 'refuse', id: 'b7', reason: 'queue-full'},
		]);
		expect(state.customerByRequest.has('brief')).toBe(true);
	});

	it('refuses requests that cannot meet their deadline', () => {
		const {effects} = run(createQueue(), [
			createArrival(request('x', {deadline: 50})),
			createArrival(request('y', {deadline: 200})),
			{kind: 'ticked', now: 150},
		]);
		expect(effects).toMatchObject([
			{id: 'x', reason: 'deadline-unmeetable'},
			{id: 'y', reason: 'deadline-unmeetable'},
		]);
	});

	it('computes Retry-After from the pace of the queue', () => {
		const many = Array.from({length: QUEUE_LENGTH}, (_, i) =>
			createArrival(request(`b${i}`)),
		);
		const starts = Array.from({length: 30}, (_, i): AdmissionEvent[] => [
			{kind: 'capacity', freeSlots: 1, now: i * 2000},
			createArrival(request(`n${i}`), i * 2000),
		]).flat();
		const {effects} = run(createQueue(), [
			...many,
			...starts,
			createArrival(request('last'), 60_000),
		]);
		expect(effects.at(-1)).toMatchObject({
			kind: 'refuse',
			id: 'last',
			retryAfterMs: QUEUE_LENGTH * 2000,
		});
	});

	it('limits extra attempts by the retry budget', () => {
		const resumed = (i: number, isDelivered: boolean): AdmissionEvent => ({
			kind: 'resumed-arrived',
			request: {id: `r${i}`, retries: 2, isDelivered},
			now: 0,
		});
		const events: AdmissionEvent[] = [
			{kind: 'capacity', freeSlots: 100, now: 0},
			...Array.from({length: 20}, (_, i) => resumed(i, false)),
			resumed(20, true),
		];
		const {state, effects} = run(createQueue(), events);
		expect(listStarted(effects)).toHaveLength(10);
		expect(state.resumed.map(({id}) => id)).toEqual(['r20']);
		const without = run(createQueue({retryBudget: false}), events);
		expect(listStarted(without.effects)).toHaveLength(21);
	});
});

const anyEvent: fc.Arbitrary<AdmissionEvent> = fc.oneof(
	fc.record({
		kind: fc.constant('request-arrived' as const),
		request: fc.record({
			id: fc.nat(60).map(String),
			customer: fc.constantFrom('a', 'b', 'large'),
			priority: fc.nat(9),
			deadline: fc.option(fc.nat(5000), {nil: undefined}),
			cost: fc.nat(9).map((cost) => cost + 1),
			durationMs: fc.nat(500),
		}),
		now: fc.nat(4000),
	}),
	fc.record({
		kind: fc.constant('resumed-arrived' as const),
		request: fc.record({
			id: fc.nat(60).map((id) => `r${id}`),
			retries: fc.nat(3),
			isDelivered: fc.boolean(),
		}),
		now: fc.nat(4000),
	}),
	fc.record({
		kind: fc.constant('capacity' as const),
		freeSlots: fc.nat(2),
		now: fc.nat(4000),
	}),
	fc.record({
		kind: fc.constant('left' as const),
		id: fc.nat(60).map(String),
		now: fc.nat(4000),
	}),
	fc.record({kind: fc.constant('ticked' as const), now: fc.nat(4000)}),
);

function assignIds(
	drawn: readonly AdmissionEvent[],
): readonly AdmissionEvent[] {
	return drawn
		.toSorted((left, right) => left.now - right.now)
		.map((event, i) =>
			event.kind === 'request-arrived'
				? {...event, request: {...event.request, id: `n${i}`}}
				: event,
		);
}

function checkBounds(events: readonly AdmissionEvent[]) {
	let state = createQueue();
	const answered: string[] = [];
	events.forEach((event) => {
		const transition = stepAdmission(state, event);
		state = transition.state;
		answered.push(...transition.effects.map(({id}) => id));
		expect(countWaiting(state)).toBeLessThanOrEqual(QUEUE_LENGTH);
		expect(state.resumed.length).toBeLessThanOrEqual(8);
		expect(state.customers.size).toBeLessThanOrEqual(3);
		expect(state.freeSlots).toBeGreaterThanOrEqual(0);
	});
	const fresh = answered.filter((id) => id.startsWith('n'));
	expect(new Set(fresh).size).toBe(fresh.length);
}

describe('bounds', () => {
	it('stays within its limits and answers each request at most once', () => {
		fc.assert(
			fc.property(fc.array(anyEvent, {maxLength: 120}), (drawn) => {
				checkBounds(assignIds(drawn));
			}),
			{seed: SEED, numRuns: 500},
		);
	});

	it('starts a returned request again after a delay', () => {
		const {effects} = run(createQueue(), [
			createArrival(request('x')),
			{kind: 'capacity', freeSlots: 1, now: 0},
			{kind: 'returned', id: 'x', now: 1},
			{kind: 'capacity', freeSlots: 1, now: 2},
			{kind: 'capacity', freeSlots: 1, now: 100},
		]);
		expect(listStarted(effects)).toEqual(['x', 'x']);
	});
});
