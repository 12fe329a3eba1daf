import {describe, expect, it} from 'vitest';
import {
	DEFAULT_QUARANTINE_OPTIONS,
	createQuarantine,
	stepQuarantine,
	summarizeQuarantine,
	type QuarantineState,
	type ReportedDeath,
} from '../../index.js';

/** Options of control instances whose entries report when runs were sent. */
const options = {
	...DEFAULT_QUARANTINE_OPTIONS,
	windowMs: 300,
	eventMs: 1000,
	deathRetentionMs: 120_000,
};

type Loss = Readonly<{
	backend: string;
	/** Time at which the server ended. */
	at: number;
	/** Time at which the run was sent. */
	sentAt?: number;
	digest?: string;
	dataCentre?: string;
	/** Time by which the report arrives late. */
	delayMs?: number;
}>;

function createDeath({
	backend,
	at,
	sentAt,
	digest = 'k',
	dataCentre = 'a',
}: Loss): ReportedDeath {
	return {
		backend,
		incarnation: 1,
		dataCentre,
		digests: [digest],
		parts: {},
		at,
		...(sentAt === undefined ? {} : {sentAt: {[digest]: sentAt}}),
	};
}

/** Reports losses in the order in which their reports arrive; lists what is convicted in the end. */
function judge(losses: readonly Loss[]): readonly string[] {
	const arrivals = losses
		.map((loss) => ({loss, now: loss.at + (loss.delayMs ?? 0)}))
		.toSorted((a, b) => a.now - b.now);
	let state: QuarantineState = createQuarantine(options);
	arrivals.forEach(({loss, now}) => {
		state = stepQuarantine(state, {
			kind: 'deaths-reported',
			deaths: [createDeath(loss)],
			completed: [],
			now,
		}).state;
	});
	state = stepQuarantine(state, {kind: 'ticked', now: 100_000}).state;
	return summarizeQuarantine(state).convicted;
}

const servers = ['e1', 'e2', 'e3', 'e4', 'e5'];

describe('a loss of several servers at once', () => {
	it.each([
		['of one data centre', ['a', 'a', 'a', 'a', 'a']],
		['of several data centres', ['a', 'b', 'c', 'a', 'b']],
	])(
		'does not convict the one request on all of them, %s',
		(_, dataCentres) => {
			const losses = servers.map((backend, i) => ({
				backend,
				at: 10_000 + i,
				sentAt: 9500 + 20 * i,
				dataCentre: dataCentres[i]!,
			}));
			expect(judge(losses)).toEqual([]);
		},
	);

	it.each([100, 300, 600, 1000])(
		'does not convict it when entries report up to %d ms apart',
		(delayMs) => {
			const losses = servers.map((backend, i) => ({
				backend,
				at: 10_000 + i,
				sentAt: 9500,
				delayMs: i % 2 === 0 ? 0 : delayMs,
			}));
			expect(judge(losses)).toEqual([]);
		},
	);

	it.each([100, 300, 450])(
		'does not convict it when silence is noticed %d ms apart',
		(stepMs) => {
			const losses = ['e1', 'e2', 'e3'].map((backend, i) => ({
				backend,
				at: 10_000 + i * stepMs,
				sentAt: 9500,
			}));
			expect(judge(losses)).toEqual([]);
		},
	);

	it('does not convict it when entries do not report when runs were sent', () => {
		const losses = servers.map((backend, i) => ({backend, at: 10_000 + 5 * i}));
		expect(judge(losses)).toEqual([]);
	});

	it('does not convict one of many requests that moved between servers as they ended', () => {
		const losses = ['e1', 'e2', 'e3'].flatMap((backend, i) => [
			{backend, at: 10_000 + 5 * i, digest: `x${i}`, sentAt: 9500},
			{backend, at: 10_000 + 5 * i, sentAt: 9999 + 5 * i},
		]);
		expect(judge(losses)).toEqual([]);
	});

	it('does not convict the one request after a second loss of other servers', () => {
		const losses = [10_000, 13_000].flatMap((at) =>
			servers.map((server, i) => ({
				backend: `${server}-${at}`,
				at: at + i,
				sentAt: at - 500,
			})),
		);
		expect(judge(losses)).toEqual([]);
	});
});

describe('a request that ends one server after the other', () => {
	it.each([50, 100, 400, 1000, 20_000])(
		'is convicted after three, %d ms apart',
		(stepMs) => {
			const losses = ['e1', 'e2', 'e3'].map((backend, i) => ({
				backend,
				at: 10_000 + i * stepMs,
				sentAt: 10_000 + i * stepMs - 40,
				dataCentre: ['a', 'b', 'c'][i]!,
			}));
			expect(judge(losses.slice(0, 2))).toEqual([]);
			expect(judge(losses)).toEqual(['k']);
		},
	);

	it('is convicted after three when copies of it end two of them 300 ms apart', () => {
		const losses = [
			{backend: 'e1', at: 10_000, sentAt: 9960},
			{backend: 'e2', at: 10_300, sentAt: 10_260},
			{backend: 'e3', at: 10_360, sentAt: 10_320},
		];
		expect(judge(losses)).toEqual(['k']);
	});

	it('is convicted by the next two when its caller sent three copies at once', () => {
		const copies = ['e1', 'e2', 'e3'].map((backend, i) => ({
			backend,
			at: 10_000 + i,
			sentAt: 9960,
		}));
		const later = ['e4', 'e5'].map((backend, i) => ({
			backend,
			at: 10_060 + 60 * i,
			sentAt: 10_020 + 60 * i,
		}));
		expect(judge([...copies, ...later.slice(0, 1)])).toEqual([]);
		expect(judge([...copies, ...later])).toEqual(['k']);
	});

	it('is convicted when the reports arrive in the opposite order', () => {
		const losses = ['e1', 'e2', 'e3'].map((backend, i) => ({
			backend,
			at: 10_000 + 60 * i,
			sentAt: 9960 + 60 * i,
			delayMs: 1000 - 100 * i,
		}));
		expect(judge(losses)).toEqual(['k']);
	});
});
