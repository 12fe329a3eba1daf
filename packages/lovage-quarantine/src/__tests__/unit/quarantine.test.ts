import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	DEFAULT_QUARANTINE_OPTIONS,
	createPartKey,
	createQuarantine,
	stepQuarantine,
	summarizeQuarantine,
	type QuarantineGuards,
	type QuarantineState,
	type ReportedDeath,
} from '../../index.js';

const SEED = 5503;
const WINDOW_MS = DEFAULT_QUARANTINE_OPTIONS.windowMs;

function createState(guards: Partial<QuarantineGuards> = {}) {
	const all = DEFAULT_QUARANTINE_OPTIONS.guards;
	return createQuarantine({
		...DEFAULT_QUARANTINE_OPTIONS,
		guards: {...all, ...guards},
	});
}

function death(
	backend: string,
	digests: readonly string[],
	dataCentre = backend,
): ReportedDeath {
	return {backend, incarnation: 1, dataCentre, digests};
}

function report(
	state: QuarantineState,
	now: number,
	deaths: readonly ReportedDeath[],
	completed: readonly string[] = [],
) {
	const event = {kind: 'deaths-reported' as const, deaths, completed, now};
	return stepQuarantine(state, event).state;
}

function tick(state: QuarantineState, now: number) {
	return stepQuarantine(state, {kind: 'ticked', now}).state;
}

const crashTwice = (state: QuarantineState) =>
	report(report(state, 0, [death('e1', ['k', 'a', 'b'])]), 20_000, [
		death('e2', ['k', 'c']),
	]);

describe('conviction', () => {
	it('convicts after three deaths and holds the request until the last is evaluated', () => {
		const twice = crashTwice(createState());
		expect(summarizeQuarantine(twice)).toMatchObject({
			suspects: ['k', 'a', 'b', 'c'],
			leading: 'k',
			held: [],
			convicted: [],
		});
		const third = report(twice, 40_000, [death('e3', ['k', 'd'])]);
		expect(summarizeQuarantine(third).held).toEqual(['k']);
		const judged = tick(third, 40_000 + WINDOW_MS);
		expect(summarizeQuarantine(judged).convicted).toEqual(['k']);
		expect(summarizeQuarantine(judged).suspects).toEqual(['a', 'b', 'c', 'd']);
	});

	it('reports no leading suspect while several have the same strikes', () => {
		const once = report(createState(), 0, [death('e1', ['k', 'a'])]);
		expect(summarizeQuarantine(once).leading).toBeUndefined();
		const both = report(once, 20_000, [death('e2', ['k', 'a', 'c'])]);
		expect(summarizeQuarantine(both)).toMatchObject({
			suspects: ['k', 'a', 'c'],
			leading: undefined,
		});
	});

	it('convicts a request that crashes servers of one data centre in quick succession', () => {
		const states = ['e1', 'e2', 'e3'].reduce(
			(state, backend, i) =>
				report(state, i * 2000, [death(backend, ['k', `x${i}`], 'one')]),
			createState(),
		);
		expect(summarizeQuarantine(states).held).toEqual(['k']);
		const judged = tick(states, 60_000);
		expect(summarizeQuarantine(judged).convicted).toEqual(['k']);
		expect(summarizeQuarantine(judged).suspects).toEqual([]);
	});

	it.each([
		[true, []],
		[false, ['a', 'k']],
	])(
		'convicts only a digest with more strikes than the others: %s',
		(standsOut, convicted) => {
			const state = ['e1', 'e2', 'e3'].reduce(
				(current, backend, i) =>
					report(current, i * 20_000, [death(backend, ['k', 'a'])]),
				createState({standsOut}),
			);
			const judged = tick(state, 100_000);
			expect(summarizeQuarantine(judged).convicted).toEqual(convicted);
		},
	);

	it.each([
		[true, []],
		[false, ['i']],
	])(
		'does not convict a request that ran beside two others that crash servers: %s',
		(standsOut, convicted) => {
			const state = ['k', 'l', 'k'].reduce(
				(current, other, i) =>
					report(current, i * 20_000, [death(`e${i}`, [other, 'i'])]),
				createState({standsOut}),
			);
			const judged = tick(state, 100_000);
			expect(summarizeQuarantine(judged).convicted).toEqual(convicted);
		},
	);

	it.each([
		[true, []],
		[false, ['a']],
	])(
		'counts no strikes for simultaneous deaths in one data centre: %s',
		(on, convicted) => {
			const rack = (now: number) => (state: QuarantineState) =>
				report(state, now, [
					death(`e${now}`, ['a'], 'one'),
					death(`f${now}`, ['b'], 'one'),
				]);
			const state = [0, 20_000, 40_000].reduce(
				(current, now) => rack(now)(current),
				createState({relatedDeaths: on}),
			);
			const judged = tick(state, 100_000);
			expect(summarizeQuarantine(judged).convicted).toEqual(
				on ? convicted : [...convicted, 'b'],
			);
		},
	);

	it.each([
		[true, []],
		[false, ['k']],
	])('merges reports of the same death: %s', (on, convicted) => {
		const state = [0, 10, 20].reduce(
			(current, now) => report(current, now, [death('e1', ['k'])]),
			createState({mergeReports: on}),
		);
		const judged = tick(state, 100_000);
		expect(summarizeQuarantine(judged).convicted).toEqual(convicted);
	});
});

describe('clearing', () => {
	it.each([
		[true, []],
		[false, ['k']],
	])('clears a suspect that completes: %s', (on, convicted) => {
		const twice = crashTwice(createState({clearCompleted: on}));
		const cleared = report(twice, 39_000, [], ['k']);
		const third = report(cleared, 40_000, [death('e3', ['k'])]);
		const judged = tick(third, 100_000);
		expect(summarizeQuarantine(judged).convicted).toEqual(convicted);
	});

	it('drops suspects and convictions after their retention', () => {
		const third = report(crashTwice(createState()), 40_000, [
			death('e3', ['k']),
		]);
		const judged = tick(third, 60_000);
		const hour = tick(judged, 4_000_000);
		expect(summarizeQuarantine(hour)).toMatchObject({
			suspects: [],
			convicted: ['k'],
		});
		expect(summarizeQuarantine(tick(hour, 90_000_000)).convicted).toEqual([]);
	});
});

const digest = fc.constantFrom('a', 'b', 'c', 'k');
const anyReport = fc.record({
	now: fc.nat(200_000),
	deaths: fc.array(
		fc.record({
			backend: fc.constantFrom('e1', 'e2', 'e3'),
			incarnation: fc.nat(2),
			dataCentre: fc.constantFrom('one', 'two'),
			digests: fc.array(digest, {maxLength: 4}),
		}),
		{maxLength: 3},
	),
	completed: fc.subarray(['a', 'b']),
});

type Reports = ReadonlyArray<
	Readonly<{now: number; deaths: ReportedDeath[]; completed: string[]}>
>;

function copyAsJson(state: QuarantineState): QuarantineState {
	const text = JSON.stringify(state);
	return JSON.parse(text) as QuarantineState;
}

function countDeaths(reports: Reports, one: string): number {
	const keys = reports
		.flatMap(({deaths}) => deaths)
		.filter(({digests}) => digests.includes(one))
		.map(({backend, incarnation}) => `${backend}#${incarnation}`);
	return new Set(keys).size;
}

function checkReports(reports: Reports): boolean {
	let state = createState();
	reports.forEach(({now, deaths, completed}) => {
		const copy = copyAsJson(state);
		state = report(state, now, deaths, completed);
		expect(report(copy, now, deaths, completed)).toEqual(state);
	});
	const {convicted} = summarizeQuarantine(tick(state, 300_000));
	return convicted.every((one) => countDeaths(reports, one) >= 3);
}

describe('state', () => {
	it('is preserved by JSON and never convicts after fewer than three deaths', () => {
		fc.assert(fc.property(fc.array(anyReport, {maxLength: 20}), checkReports), {
			seed: SEED,
			numRuns: 300,
		});
	});
});

describe('parts of prompts', () => {
	const options = {
		...DEFAULT_QUARANTINE_OPTIONS,
		windowMs: 300,
		deathRetentionMs: 120_000,
		uncertainStrikes: 5,
		soundReportMs: 2000,
		uncertainRetentionMs: 300_000,
	};
	const [common, first, second] = ['c', 'bad0', 'bad1'].map((part) =>
		createPartKey(part),
	) as [string, string, string];

	/** A backend server that died under requests, each with a part beside the common one. */
	function partDeath(index: number, guilty: readonly string[]): ReportedDeath {
		const requests = guilty.map((part) => `${part}-${index}`);
		const sound = `sound-${index}`;
		return {
			...death(`e${index}`, [...requests, sound], 'a'),
			at: index * 1000,
			parts: {
				[common]: [...requests, sound],
				...Object.fromEntries(guilty.map((part, i) => [part, [requests[i]!]])),
			},
		};
	}

	// A part is on one more of the lost requests than the other whenever its own
	// death is evaluated, and the common one is on all of them.
	it.each([
		['the first of them first', [first, second]],
		['the second of them first', [second, first]],
	])('refuses two that crash backend servers by turns, %s', (_, turns) => {
		let state = createQuarantine(options);
		for (let index = 0; index < 14; index += 1) {
			const guilty = index === 0 ? turns : [turns[(index + 1) % 2]!];
			state = report(state, index * 1000, [partDeath(index, guilty)]);
			state = tick(state, index * 1000 + 500);
		}

		const refused = summarizeQuarantine(state).convicted;
		expect(refused).toEqual(expect.arrayContaining([first, second]));
		expect(refused).not.toContain(common);
	});
});
