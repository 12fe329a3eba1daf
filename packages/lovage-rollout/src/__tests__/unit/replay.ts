import {
	applyRolloutCommand,
	classifyTime,
	decideRollout,
	drawVersion,
	EMPTY_ROLLOUTS,
	NO_COUNTS,
	type RolloutStage,
	type SecondCounts,
	type ServiceRollout,
	type ShareCredits,
	type VersionCounts,
} from '../../index.js';

/** Outcome of a request: milliseconds, and whether it failed. */
export type ReplayedOutcome = Readonly<{tookMs: number; hasFailed: boolean}>;

/** Load on a roll-out that is replayed without a network. */
export type ReplayOptions = Readonly<{
	perSecond: number;
	durationMs: number;
	entries: number;
	seed: number;
	/** Runs a request at a version. */
	run: (
		request: Readonly<{
			isFresh: boolean;
			route: string;
			at: number;
			freshShare: number;
			random: () => number;
		}>,
	) => ReplayedOutcome;
	isStable?: (at: number) => boolean;
}>;

/** What a replay ended with. */
export type ReplayResult = Readonly<{
	stage: RolloutStage;
	endedAt: number;
	/** Requests at the new version until the deadline. */
	exposed: number;
	total: number;
	/** When the new version had given 50 bad responses; undefined if it gave fewer. */
	fiftiethBadAt: number | undefined;
	lastFreshAt: number;
	maxShare: number;
}>;

const TICK_MS = 20;
/** A report, its answer and a commit take some hundred milliseconds together. */
const REPORT_MS = 250;
const SPREAD_MS = 250;
const DECIDE_MS = 200;
const ROUTES = ['get', 'put', 'list'];

/** Generator of Numerical Recipes, whose constants these are. */
export function createRandom(seed: number): () => number {
	let state = seed;
	return () => {
		state = (Math.imul(state, 1_664_525) + 1_013_904_223) % 2 ** 32;
		return (state < 0 ? state + 2 ** 32 : state) / 2 ** 32;
	};
}

type Ended = Readonly<{
	at: number;
	isFresh: boolean;
	route: string;
	outcome: ReplayedOutcome;
}>;

type CountsOfSecond = Map<
	string,
	Readonly<{fresh: VersionCounts; old: VersionCounts}>
>;

/** Adds a response to the second in which it ended. */
function addToSecond(
	seconds: Map<number, CountsOfSecond>,
	{at, isFresh, route, outcome}: Ended,
): void {
	const second = Math.floor(at / 1000);
	const routes: CountsOfSecond =
		seconds.get(second) ?? new Map<string, never>();
	const known = routes.get(route) ?? {fresh: NO_COUNTS, old: NO_COUNTS};
	const key = isFresh ? 'fresh' : 'old';
	const {failed, byTime} = known[key];
	const took = classifyTime(outcome.tookMs);
	const counted = outcome.hasFailed
		? {failed: failed + 1, byTime}
		: {
				failed,
				byTime: Object.assign([...byTime], {[took]: (byTime[took] ?? 0) + 1}),
			};
	routes.set(route, {
		...known,
		[key]: {...counted, byTime: Array.from(counted.byTime, (one) => one ?? 0)},
	});
	seconds.set(second, routes);
}

/** Replays an order from its acknowledgement to two seconds after its deadline. */
export function replay({
	perSecond,
	durationMs,
	entries,
	seed,
	run,
	isStable = () => true,
}: ReplayOptions): ReplayResult {
	const random = createRandom(seed);
	let state = applyRolloutCommand(EMPTY_ROLLOUTS, {
		kind: 'rollout-first',
		service: 's',
		version: 'v1',
	});
	state = applyRolloutCommand(state, {
		kind: 'rollout-order',
		service: 's',
		to: 'v2',
		durationMs,
	});
	let told: ReadonlyArray<Readonly<{at: number; rollout: ServiceRollout}>> = [
		{at: 0, rollout: state.get('s')!},
	];
	const credits: ShareCredits[] = Array.from(
		{length: entries},
		() => new Map(),
	);
	const phases = credits.map(() => random());
	const ended: Ended[] = [];
	let pending: readonly Ended[] = [];
	const seconds = new Map<number, CountsOfSecond>();
	const sent: Array<Readonly<{at: number; isFresh: boolean}>> = [];
	let stepAt = 0;
	let endedAt = Number.POSITIVE_INFINITY;
	let due = 0;
	for (let at = 0; at < durationMs + 2000; at += TICK_MS) {
		due += (perSecond * TICK_MS) / 1000;
		const {rollout} = told.findLast((one) => one.at <= at)!;
		for (; due >= 1; due -= 1) {
			const entry = Math.floor(random() * entries);
			const draw = drawVersion('s', rollout, credits[entry]!, phases[entry]!);
			credits[entry] = draw.credits;
			const isFresh = draw.versions[0] === 'v2';
			const route = ROUTES[Math.floor(random() * ROUTES.length)]!;
			const recent = sent.slice(-Math.ceil(perSecond / 2));
			const freshShare =
				recent.filter((one) => one.isFresh).length / Math.max(1, recent.length);
			const outcome = run({isFresh, route, at, freshShare, random});
			sent.push({at, isFresh});
			const end = {at: at + outcome.tookMs, isFresh, route, outcome};
			ended.push(end);
			pending = [...pending, end];
		}

		const order = state.get('s')!.order!;
		if (at % DECIDE_MS === 0 && order.stage === 'running') {
			const heardTo = at - REPORT_MS;
			const heard = sent.filter((one) => one.at <= heardTo);
			pending
				.filter((one) => one.at <= heardTo)
				.forEach((one) => {
					addToSecond(seconds, one);
				});
			pending = pending.filter((one) => one.at > heardTo);
			const verdict = decideRollout({
				order,
				ageMs: at,
				stepAgeMs: at - stepAt,
				seconds: [...seconds]
					.toSorted(([a], [b]) => a - b)
					.map(([, routes]) => routes),
				total: heard.length,
				exposed: heard.filter(({isFresh}) => isFresh).length,
				perSecond,
				oldRunning: pending.filter(({isFresh}) => !isFresh).length,
				freshServers: 3,
				isStable: isStable(at),
				bounds: {exposeShare: 0.1, exposeSlack: 50},
			});
			if (verdict.kind !== 'hold') {
				state = applyRolloutCommand(state, {
					kind: 'rollout-change',
					service: 's',
					to: 'v2',
					ageMs: at,
					stage:
						verdict.kind === 'grow'
							? 'running'
							: verdict.kind === 'revert'
								? 'reverted'
								: 'succeeded',
					step: order.step + (verdict.kind === 'grow' ? 1 : 0),
				});
				stepAt = at;
				told = [...told, {at: at + SPREAD_MS, rollout: state.get('s')!}];
				endedAt = verdict.kind === 'grow' ? endedAt : at;
			}
		}
	}

	const fresh = sent.filter(({isFresh}) => isFresh);
	const bad = ended
		.filter(
			({isFresh, outcome}) =>
				isFresh && (outcome.hasFailed || outcome.tookMs > 100),
		)
		.toSorted((a, b) => a.at - b.at);
	return {
		stage: state.get('s')!.order!.stage,
		endedAt,
		exposed: fresh.filter(({at}) => at <= durationMs).length,
		total: sent.filter(({at}) => at <= durationMs).length,
		fiftiethBadAt: bad[49]?.at,
		lastFreshAt: fresh.at(-1)?.at ?? 0,
		maxShare: state.get('s')!.order!.step,
	};
}
