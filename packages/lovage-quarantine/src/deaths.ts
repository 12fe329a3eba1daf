import type {Death, QuarantineState, ReportedDeath} from './types.js';

/** Adds a reported death; reports of the same death are merged. */
export function mergeDeath(
	state: QuarantineState,
	report: ReportedDeath,
): QuarantineState {
	const known = state.deaths.find(
		(death) => state.options.guards.mergeReports && isSameDeath(death, report),
	);
	if (known === undefined) {
		const death: Death = {
			...report,
			reportedAt: state.now,
			verdict: 'pending',
		};
		return {...state, deaths: [...state.deaths, death]};
	}

	const digests = [...new Set([...known.digests, ...report.digests])];
	const merged: Death = {...known, digests};
	return {
		...state,
		deaths: state.deaths.map((death) => (death === known ? merged : death)),
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
	const related = listRelatedDeaths(state, death);
	if (related.length === 0 || !state.options.guards.relatedDeaths) {
		return death.digests;
	}

	return death.digests.filter((digest) =>
		related.some(({digests}) => digests.includes(digest)),
	);
}

/** Whether a pending death's window for related deaths has passed. */
export function isWindowOver(state: QuarantineState, death: Death): boolean {
	return (
		death.verdict === 'pending' &&
		death.reportedAt + state.options.windowMs <= state.now
	);
}
