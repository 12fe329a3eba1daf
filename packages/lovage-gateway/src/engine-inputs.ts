import type {StartEngine} from '@lovagevalve/admission/starts';
import {type BackendRecord, readSoftwareVersion} from '@lovagevalve/dispatch';
import type {EngineLimits} from '@lovagevalve/routing';
import type {Clock} from '@lovagevalve/runtime';
import type {EngineCandidate} from './backend-choice.js';
import type {EngineLoads} from './engine-loads.js';

/** What a decision needs of the engines of a service. */
export type EngineInputs = Readonly<{
	engines: readonly StartEngine[];
	/** Number of positions, also of engines that get no requests now. */
	positions: number;
}>;

/** Dependencies of the description of engines. */
export type EngineInputsOptions = Readonly<{
	clock: Clock;
	service: string;
	loads: EngineLoads;
	listRegistered: (service: string) => readonly BackendRecord[];
	/** Learned speed of an engine; undefined while it isn't known. */
	readTokensPerMs: (backend: BackendRecord) => number | undefined;
}>;

/** Time for which positions of engines are kept: between two reports. */
const POSITIONS_KEPT_MS = 200;

/** Prefers engines that answer and did not fail lately, if there are any. */
export function keepHealthy(
	candidates: readonly EngineCandidate[],
): readonly EngineCandidate[] {
	const healthy = candidates.filter(
		({candidate}) => candidate.isResponsive && !candidate.isAvoided,
	);
	return healthy.length > 0 ? healthy : candidates;
}

/** Creates the description of the engines of one service. */
export function createEngineInputs({
	clock,
	service,
	loads,
	listRegistered,
	readTokensPerMs,
}: EngineInputsOptions): (
	limits: EngineLimits,
	candidates: readonly EngineCandidate[],
) => EngineInputs {
	let positions: ReadonlyMap<string, number> = new Map();
	let positionedAt = Number.NEGATIVE_INFINITY;

	const updatePositions = (): void => {
		if (clock.now() - positionedAt >= POSITIONS_KEPT_MS) {
			positionedAt = clock.now();
			const addresses = listRegistered(service).map(({address}) => address);
			positions = new Map(
				[...new Set(addresses)].toSorted().map((address, i) => [address, i]),
			);
		}
	};

	const describe = (
		{slots, memoryTokens}: EngineLimits,
		{record, candidate}: EngineCandidate,
	): StartEngine => {
		const {id, ownLoad, othersLoad} = candidate;
		const recentStarts = loads.countRecentStarts(id);
		const unreportedEnds = loads.countUnreportedEnds(id);
		const running = ownLoad.running + othersLoad.running;
		const prefillTokens = ownLoad.prefillTokens + othersLoad.prefillTokens;
		return {
			id,
			dataCentre: record.dataCentre,
			softwareVersion: readSoftwareVersion(record),
			position: positions.get(record.address) ?? 0,
			slots,
			memoryTokens,
			running,
			usedTokens: ownLoad.memoryTokens + othersLoad.memoryTokens,
			prefillTokens,
			recentStarts,
			unreportedEnds,
			unchangedMs: loads.readUnchangedMs(id, {
				running: running - recentStarts + unreportedEnds,
				prefillTokens,
			}),
			tokensPerMs: readTokensPerMs(record),
		};
	};

	return (limits, candidates) => {
		updatePositions();
		return {
			engines: candidates.map((candidate) => describe(limits, candidate)),
			positions: positions.size,
		};
	};
}
