import {describe, expect, it} from 'vitest';
import {replay, type ReplayOptions, type ReplayResult} from './replay.js';

type Run = ReplayOptions['run'];

/** Service time of a sound version; a few responses are slow and some fail. */
const runSound: Run = ({random}) => ({
	tookMs: 12 + 20 * random() + (random() < 0.02 ? 60 : 0),
	hasFailed: random() < 0.002,
});

function failWhen(
	isBad: (request: Parameters<Run>[0]) => boolean,
	share: number,
): Run {
	return (request) => {
		const sound = runSound(request);
		return request.isFresh && isBad(request) && request.random() < share
			? {...sound, hasFailed: true}
			: sound;
	};
}

function slowWhen(
	isBad: (request: Parameters<Run>[0]) => boolean,
	share: number,
): Run {
	return (request) => {
		const sound = runSound(request);
		return request.isFresh && isBad(request) && request.random() < share
			? {...sound, tookMs: sound.tookMs * 5}
			: sound;
	};
}

const LOADS = [
	{perSecond: 152, durationMs: 12_000, entries: 79},
	{perSecond: 193, durationMs: 20_000, entries: 87},
	{perSecond: 30, durationMs: 30_000, entries: 79},
];
const SEEDS = [1, 2, 3, 4, 5, 6];

function replayAll(run: Run): readonly ReplayResult[] {
	return LOADS.flatMap((load) =>
		SEEDS.map((seed) => replay({...load, seed, run})),
	);
}

function expectBounded(results: readonly ReplayResult[]): void {
	results.forEach((result) => {
		expect(result.stage).toBe('reverted');
		expect(result.exposed).toBeLessThanOrEqual(0.1 * result.total + 50);
		expect(
			result.lastFreshAt - (result.fiftiethBadAt ?? Number.POSITIVE_INFINITY),
		).toBeLessThanOrEqual(5000);
	});
}

describe('the verdict on a replayed roll-out', () => {
	it('lets a good version carry the load before its deadline', () => {
		replayAll(runSound).forEach((result, i) => {
			const {durationMs} = LOADS[Math.floor(i / SEEDS.length)]!;
			expect(result.stage).toBe('succeeded');
			expect(result.endedAt).toBeLessThan(durationMs - 500);
		});
	});

	it('lets a good version succeed on a service with little traffic', () => {
		const load = {perSecond: 2, durationMs: 12_000, entries: 79};
		SEEDS.forEach((seed) => {
			const {stage} = replay({...load, seed, run: runSound});
			expect(stage).toBe('succeeded');
		});
	});

	it.each([0.2, 1])(
		'reverts a version that fails at once, part %s',
		(share) => {
			expectBounded(replayAll(failWhen(() => true, share)));
		},
	);

	it.each([0.3, 1])(
		'reverts a version that is slow at once, part %s',
		(share) => {
			expectBounded(replayAll(slowWhen(() => true, share)));
		},
	);

	it.each([3000, 6000])(
		'reverts a version that fails late, from %s ms',
		(from) => {
			expectBounded(replayAll(failWhen(({at}) => at >= from, 0.3)));
		},
	);

	it.each([3000, 6000])(
		'reverts a version that slows down late, from %s ms',
		(from) => {
			expectBounded(replayAll(slowWhen(({at}) => at >= from, 0.5)));
		},
	);

	it('reverts a version that fails under load', () => {
		expectBounded(
			replayAll(failWhen(({freshShare}) => freshShare > 0.25, 0.5)),
		);
	});

	it('reverts a version that is slow under load', () => {
		expectBounded(
			replayAll(slowWhen(({freshShare}) => freshShare > 0.25, 0.7)),
		);
	});

	it('reverts a version that fails on one route only', () => {
		expectBounded(replayAll(failWhen(({route}) => route === 'put', 0.4)));
	});

	it.each([0, 1, 2])(
		'keeps a good version when a data centre with a third of the old and half of the new servers crashes, case %s',
		(offset) => {
			const run: Run = (request) => {
				const {at, isFresh, random} = request;
				const isDown = (at + offset * 2100) % 6500 < 1200;
				return isDown && random() < (isFresh ? 0.5 : 0.33)
					? {tookMs: 30, hasFailed: true}
					: runSound(request);
			};

			replayAll(run).forEach(({stage}) => {
				expect(stage).not.toBe('reverted');
			});
		},
	);

	it('reverts a bad version although data centres crash', () => {
		const run: Run = (request) =>
			request.at % 6500 < 1200 && request.random() < 0.33
				? {tookMs: 30, hasFailed: true}
				: failWhen(() => true, 0.4)(request);
		expectBounded(replayAll(run));
	});

	it('holds the share while the core is unstable', () => {
		const result = replay({
			...LOADS[0]!,
			seed: 1,
			run: runSound,
			isStable: () => false,
		});
		expect(result.stage).toBe('running');
		expect(result.maxShare).toBe(0);
	});
});
