import {createResult, type RunResult} from './account.js';
import {createClock, type Clock} from './clock.js';
import {createEntry, type Entry} from './entry.js';
import {scheduleFault} from './faults.js';
import {createPlatform} from './platform.js';
import {createRandom} from './random.js';
import {
	ARRIVALS_END_MS,
	SETTLE_MS,
	RUN_END_MS,
	type Deployment,
	type Fault,
} from './scenario.js';
import type {Variant} from './variants.js';
import {createWorkload} from './workload.js';

/** Options of a run; equal options give equal results. */
export type RunOptions = Readonly<{
	deployment: Deployment;
	fault: Fault;
	variant: Variant;
	seed: number;
}>;

/** Runs one scenario to completion in virtual time. */
export function runScenario(options: RunOptions): RunResult {
	const {deployment, fault, variant, seed} = options;
	const clock = createClock();
	const result = createResult();
	const random = createRandom(seed);
	const platform = createPlatform(deployment, clock, createRandom(seed + 1e6));
	const entries: Entry[] = [];
	const callers = createRandom(seed + 2e6);
	const workload = createWorkload(
		{deployment, fault, clock},
		callers,
		(request) => {
			callers.pick(entries).accept(request);
		},
	);
	const entryOptions = {
		clock,
		random,
		platform,
		deployment,
		variant,
		result,
		onEnd: workload.handleEnd,
	};
	entries.push(
		...Array.from({length: deployment.entries}, (_, i) =>
			createEntry(
				entryOptions,
				deployment.dataCentres[i % deployment.dataCentres.length]!,
			),
		),
	);
	scheduleFault(
		{
			clock,
			random: createRandom(seed + 3e6),
			platform,
			deployment,
			entries,
		},
		fault,
	);
	runToEnd(clock, entries);
	const {convicted} = platform.readQuarantine();
	result.notWhole += entries.reduce((sum, {live}) => sum + live.size, 0);
	result.isKillerConvicted = convicted.includes('killer');
	result.innocentsConvicted = convicted.filter(
		(digest) => digest !== 'killer',
	).length;
	result.enginesLostToKiller =
		fault === 'killer'
			? platform.engines.reduce(
					(sum, {getIncarnation, getStatus}) =>
						sum + getIncarnation() - (getStatus() === 'dead' ? 0 : 1),
					0,
				)
			: 0;
	return result;
}

/** Runs until the last request has ended and its work has been counted. */
function runToEnd(clock: Clock, entries: readonly Entry[]): void {
	clock.runUntil(ARRIVALS_END_MS);
	const isBusy = () => entries.some(({live}) => live.size > 0);
	let lastBusyAt = ARRIVALS_END_MS;
	for (
		let time = ARRIVALS_END_MS;
		time < RUN_END_MS && time < lastBusyAt + SETTLE_MS;
		time += 1000
	) {
		clock.runUntil(time);
		lastBusyAt = isBusy() ? time : lastBusyAt;
	}
}
