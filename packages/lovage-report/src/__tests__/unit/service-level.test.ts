import {rulesSchema} from '@lovagevalve/inventory';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	computeBurn,
	createServiceLevel,
	mergeSnapshots,
	OTHER_CUSTOMERS,
	renderHtml,
	renderText,
	snapshotSchema,
	stepServiceLevel,
	takeSnapshot,
	type ServiceLevelEvent,
	type ServiceLevelSnapshot,
} from '../../index.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const NOW = 1000 * 24 * HOUR_MS;
const RULES = rulesSchema.parse({
	objectives: [
		{service: 'lyric', weighs: 'resume-latency', target: 0.9},
		{service: 'tutoring', weighs: 'resource-use', extraUseShare: 0.1},
	],
});

type RequestEvent = Exclude<ServiceLevelEvent, {kind: 'rules-changed'}>;
type EventDetails<T> = T extends unknown
	? Omit<T, 'customer' | 'service' | 'at'>
	: never;

function createEvent(
	event: EventDetails<RequestEvent>,
	at = NOW,
	service = 'lyric',
	customer = 'label',
): ServiceLevelEvent {
	return {...event, at, service, customer};
}

function countEvents(
	events: readonly ServiceLevelEvent[],
	maxSeries?: number,
): ServiceLevelSnapshot {
	const state = events.reduce(
		(before, event) => stepServiceLevel(before, event).state,
		createServiceLevel(RULES, maxSeries),
	);
	return takeSnapshot(state, NOW);
}

function repeat(
	times: number,
	event: ServiceLevelEvent,
): readonly ServiceLevelEvent[] {
	return Array.from({length: times}, () => event);
}

function computeServiceLevel(events: readonly ServiceLevelEvent[], now = NOW) {
	const [service] = computeBurn(countEvents(events), RULES, now).services;
	return service!.all;
}

test('the burn rate is 1 if the share of bad events equals the allowed share', () => {
	const level = computeServiceLevel([
		...repeat(9, createEvent({kind: 'ended', outcome: 'finished'})),
		createEvent({kind: 'ended', outcome: 'failed'}),
	]);
	expect(level.windows.map(({burn}) => burn)).toEqual([
		expect.closeTo(1),
		expect.closeTo(1),
		expect.closeTo(1),
		expect.closeTo(1),
	]);
	expect(level.budgetLeft).toBeCloseTo(0);
});

test('rejected requests do not count towards the burn rate', () => {
	const level = computeServiceLevel([
		createEvent({kind: 'ended', outcome: 'finished'}),
		...repeat(9, createEvent({kind: 'ended', outcome: 'rejected'})),
	]);
	expect(level.windows[0]).toMatchObject({requests: 1, bad: 0, burn: 0});
	expect(level.rejected).toBe(9);
});

test('latencies are compared with the objective and resumes are counted by cause', () => {
	const level = computeServiceLevel([
		...repeat(8, createEvent({kind: 'ended', outcome: 'finished'})),
		createEvent({kind: 'first-token', waitMs: 2001}),
		createEvent({kind: 'first-token', waitMs: 2000}),
		createEvent({kind: 'resumed', waitMs: 4001, cause: 'backend-server-lost'}),
		createEvent({kind: 'resumed', waitMs: 900, cause: 'connection-lost'}),
	]);
	expect(level.windows[0]).toMatchObject({requests: 8, bad: 2});
	expect(level.windows[0]!.latencyBurn).toBeCloseTo(2.5);
	expect(level.resumes).toEqual({
		'connection-lost': 1,
		'backend-server-lost': 1,
		'entry-lost': 0,
	});
	expect(level.resume).toMatchObject({count: 2, p50: 900, max: 4100});
});

test('the burn rate of a service that weighs resource use depends on its extra use', () => {
	const events = [
		createEvent({kind: 'worked', amount: 1000}, NOW, 'tutoring'),
		createEvent(
			{kind: 'extra-used', amount: 150, cause: 'recomputed-prefill'},
			NOW,
			'tutoring',
		),
		createEvent(
			{kind: 'extra-used', amount: 50, cause: 'wasted-decode'},
			NOW,
			'tutoring',
		),
	];
	const level = computeServiceLevel(events);
	expect(level.windows[0]!.burn).toBeCloseTo(2);
	expect(level.extraShare).toBeCloseTo(0.2);
	expect(level.extra.map(({amount}) => amount)).toEqual([150, 50, 0]);
	expect(level.budgetLeft).toBeCloseTo(-1);
});

test('events before a window are not counted', () => {
	const events = [
		createEvent({kind: 'ended', outcome: 'failed'}, NOW - 3 * HOUR_MS),
		...repeat(9, createEvent({kind: 'ended', outcome: 'finished'})),
	];
	const bad = computeServiceLevel(events).windows.map((window) => window.bad);
	expect(bad).toEqual([0, 0, 1, 1]);
	const later = computeServiceLevel(events, NOW + 100 * HOUR_MS);
	expect(later.windows.map(({requests}) => requests)).toEqual([0, 0, 0, 0]);
});

test('the number of buckets and of series is bounded', () => {
	const overYears = Array.from({length: 2000}, (_, i) =>
		createEvent(
			{kind: 'resumed', waitMs: i * 37, cause: 'entry-lost'},
			NOW + i * HOUR_MS,
		),
	);
	const [series] = countEvents(overYears).series;
	const lengths = Object.values(series!.rings).map((ring) => ring.length);
	expect(Math.max(...lengths)).toBeLessThanOrEqual(14);
	const many = Array.from({length: 50}, (_, i) =>
		createEvent({kind: 'ended', outcome: 'finished'}, NOW, 'lyric', `c${i}`),
	);
	const customers = countEvents(many, 10).series.map(({customer}) => customer);
	expect(customers).toHaveLength(11);
	expect(customers).toContain(OTHER_CUSTOMERS);
});

test('rejects amounts that are negative or not a number', () => {
	const step = (amount: number) => () =>
		stepServiceLevel(
			createServiceLevel(RULES),
			createEvent({kind: 'worked', amount}),
		);
	expect(step(Number.NaN)).toThrow(/must be a number/);
	expect(step(-1)).toThrow(/must be a number/);
});

const anyEvent = fc
	.record({
		customer: fc.constantFrom('a', 'b'),
		service: fc.constantFrom('lyric', 'tutoring'),
		at: fc.integer({min: NOW - 2 * HOUR_MS, max: NOW}),
		event: fc.oneof(
			fc.record({
				kind: fc.constant('resumed' as const),
				waitMs: fc.integer({min: 0, max: 100_000}),
				cause: fc.constantFrom(
					'connection-lost' as const,
					'entry-lost' as const,
				),
			}),
			fc.record({
				kind: fc.constant('ended' as const),
				outcome: fc.constantFrom('finished' as const, 'refused' as const),
			}),
			fc.record({
				kind: fc.constant('extra-used' as const),
				amount: fc.integer({min: 0, max: 1000}),
				cause: fc.constant('duplicate-attempt' as const),
			}),
		),
	})
	.map(({event, at, service, customer}) =>
		createEvent(event, at, service, customer),
	);

test('merged snapshots equal the counts of all events, after a JSON round trip', () => {
	fc.assert(
		fc.property(fc.array(anyEvent), fc.array(anyEvent), (a, b) => {
			const texts = [countEvents(a), countEvents(b)].map((counted) =>
				JSON.stringify(counted),
			);
			const snapshots = texts.map((text) =>
				snapshotSchema.parse(JSON.parse(text)),
			);
			const merged = computeBurn(mergeSnapshots(snapshots), RULES, NOW);
			const single = computeBurn(countEvents([...a, ...b]), RULES, NOW);
			expect(merged).toEqual(single);
		}),
		{seed: 7, numRuns: 100},
	);
});

test('the snapshot schema rejects invalid snapshots', () => {
	const snapshot = countEvents([createEvent({kind: 'worked', amount: 1})]);
	const broken = JSON.parse(
		JSON.stringify(snapshot).replace('"work":1', '"work":"1"'),
	) as unknown;
	expect(snapshotSchema.safeParse(broken).success).toBe(false);
});

test('the HTML page loads no external resources and escapes its content', () => {
	const events = [
		createEvent({kind: 'ended', outcome: 'finished'}, NOW, 'lyric', '<b>x</b>'),
		createEvent({kind: 'resumed', waitMs: 1234, cause: 'entry-lost'}),
		createEvent({kind: 'extra-used', amount: 3, cause: 'wasted-decode'}),
	];
	const report = computeBurn(countEvents(events), RULES, NOW);
	const page = renderHtml(report, 'A & B');
	expect(page).toContain('A &amp; B');
	expect(page).toContain('&lt;b&gt;x&lt;/b&gt;');
	expect(page).not.toMatch(/<script|src=|href=|https?:\/\/|NaN|undefined/);
	expect(page.match(/<svg /g)).toHaveLength(3);
	const text = renderText(report, 'A & B').join('\n');
	expect(text).toContain('resume: 1 waits');
	expect(text).not.toMatch(/NaN|undefined/);
});

test('an empty report can be rendered', () => {
	const report = computeBurn(countEvents([]), RULES, NOW);
	expect(renderHtml(report, 'empty')).toContain('No requests yet');
	expect(renderText(report, 'empty')).toContain('no requests yet');
});
