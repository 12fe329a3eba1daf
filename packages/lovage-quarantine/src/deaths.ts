import type {
	Death,
	PartDigests,
	QuarantineState,
	ReportedDeath,
} from './types.js';

function mergeParts(left: PartDigests, right: PartDigests): PartDigests {
	const added = Object.entries(right).map(
		([key, digests]): [string, readonly string[]] => [
			key,
			[...new Set([...(left[key] ?? []), ...digests])],
		],
	);
	return {...left, ...Object.fromEntries(added)};
}

function createDeath({at, ...report}: ReportedDeath, now: number): Death {
	return {...report, reportedAt: at ?? now, verdict: 'pending'};
}

function mergeReports(known: Death, report: ReportedDeath): Death {
	const digests = [...new Set([...known.digests, ...report.digests])];
	if (known.parts === undefined) {
		return {...known, digests};
	}

	// A late report of another entry may name the request that is to blame.
	const isUnchanged = digests.length === known.digests.length;
	return {
		...known,
		digests,
		parts: mergeParts(known.parts, report.parts ?? {}),
		verdict: isUnchanged ? known.verdict : 'pending',
	};
}

/** Adds a reported death; reports of the same death are merged. */
export function mergeDeath(
	state: QuarantineState,
	report: ReportedDeath,
): QuarantineState {
	const known = state.deaths.find(
		(death) => state.options.guards.mergeReports && isSameDeath(death, report),
	);
	return known === undefined
		? {...state, deaths: [...state.deaths, createDeath(report, state.now)]}
		: {
				...state,
				deaths: state.deaths.map((death) =>
					death === known ? mergeReports(known, report) : death,
				),
			};
}

function isSameDeath(death: Death, report: ReportedDeath): boolean {
	return (
		death.backend === report.backend && death.incarnation === report.incarnation
	);
}

/** Lists the other deaths in the same data centre within the window. */
export function listRelatedDeaths(
	state: QuarantineState,
	death: Death,
): readonly Death[] {
	return state.deaths.filter(
		(other) =>
			other !== death &&
			isSameDataCentre(other, death) &&
			Math.abs(other.reportedAt - death.reportedAt) < state.options.windowMs,
	);
}

function isSameDataCentre(left: Death, right: Death): boolean {
	return left.dataCentre === right.dataCentre;
}

/**
 * Lists the digests that a death counts against. Related deaths probably have a
 * common cause, such as a lost rack. They only count against a digest that ran on
 * several of the backend servers, because it moved from one to the next.
 */
export function listCountedDigests(
	state: QuarantineState,
	death: Death,
): readonly string[] {
	const uncounted = death.digests.filter(
		(digest) => !state.records[digest]?.deathTimes?.includes(death.reportedAt),
	);
	const related = listRelatedDeaths(state, death);
	if (related.length === 0 || !state.options.guards.relatedDeaths) {
		return uncounted;
	}

	return uncounted.filter((digest) =>
		related.some(({digests}) => digests.includes(digest)),
	);
}

/**
 * Lists the parts that a death counts against. Requests with a common part run on
 * many backend servers at a time, so deaths within a window, which may have
 * another common cause, count once.
 */
export function listCountedParts(
	state: QuarantineState,
	{parts = {}, reportedAt}: Death,
): readonly string[] {
	return Object.keys(parts).filter((key) =>
		(state.records[key]?.deathTimes ?? []).every(
			(time) => Math.abs(time - reportedAt) >= state.options.windowMs,
		),
	);
}

/** Whether a convicted part has caused the death. */
export function isExplained(
	{convicted, uncertain = {}}: QuarantineState,
	{parts = {}}: Death,
): boolean {
	return Object.keys(parts).some(
		(key) => convicted[key] !== undefined || uncertain[key] !== undefined,
	);
}

/** Lists the digests and parts of a death. */
export function listKeys({digests, parts = {}}: Death): readonly string[] {
	return [...digests, ...Object.keys(parts)];
}

/** Whether a pending death's window for related deaths has passed. */
export function isWindowOver(state: QuarantineState, death: Death): boolean {
	return (
		death.verdict === 'pending' &&
		death.reportedAt + state.options.windowMs <= state.now
	);
}
