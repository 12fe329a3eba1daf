import {hashText} from './hash.js';
import {estimateLoadShare, estimateOccupancy, getCachedShare} from './load.js';
import {sample} from './sample.js';
import {
	DEFAULT_PLACEMENT_POLICY,
	type Candidate,
	type PlacementPolicy,
	type PlacementRequest,
} from './types.js';

/** Tells whether a backend server may get this work now. */
export function isEligible(
	candidate: Candidate,
	request: PlacementRequest,
): boolean {
	return (
		candidate.state === 'serving' &&
		estimateOccupancy(candidate) < candidate.capacity &&
		!request.excluded.includes(candidate.id) &&
		(request.model === undefined || candidate.models.includes(request.model)) &&
		(request.role === undefined || candidate.role === request.role) &&
		isApart(candidate, request.suspect)
	);
}

/** A suspect never runs where another suspect does. */
function isApart(candidate: Candidate, suspect: string | undefined): boolean {
	return (
		suspect === undefined ||
		candidate.suspects.every((other) => other === suspect)
	);
}

/**
 * Chooses a backend server with room, or none. `random` lies in [0, 1); the
 * choice among a few random candidates keeps entries from herding.
 */
export function chooseBackend(
	view: readonly Candidate[],
	request: PlacementRequest,
	random: number,
	policy: PlacementPolicy = DEFAULT_PLACEMENT_POLICY,
): Candidate | undefined {
	const eligible = preferOtherPlaces(
		view.filter((candidate) => isEligible(candidate, request)),
		request.lostAt ?? [],
	);
	if (request.suspect !== undefined) {
		return chooseForSuspect(eligible, request.suspect, request.suspects ?? []);
	}

	const compared = [
		...sample(eligible, policy.choices, random),
		...listPrefixHolders(eligible, request, policy),
	];
	return pickLowest(compared, (candidate) =>
		scoreCandidate(candidate, request, policy),
	);
}

/** A loss may be that of a whole data centre: another one is safer. */
function preferOtherPlaces(
	eligible: readonly Candidate[],
	lostAt: readonly string[],
): readonly Candidate[] {
	const others = eligible.filter(
		({dataCentre}) => !lostAt.includes(dataCentre),
	);
	return others.length > 0 ? others : eligible;
}

/**
 * Entries agree on the backend server for a suspect without talking: each
 * suspect of the shared order takes the best one that is left by its hash,
 * and the next turn begins when none is left.
 */
function chooseForSuspect(
	eligible: readonly Candidate[],
	suspect: string,
	suspects: readonly string[],
): Candidate | undefined {
	const index = Math.max(0, suspects.indexOf(suspect));
	const turn = index - (index % Math.max(1, eligible.length));
	const earlier = suspects.slice(turn, index);
	const rest = earlier.reduce<readonly Candidate[]>((left, other) => {
		const taken = pickByHash(left, other);
		return left.filter((candidate) => candidate !== taken);
	}, eligible);
	return pickByHash(rest, suspect);
}

function pickByHash(
	candidates: readonly Candidate[],
	digest: string,
): Candidate | undefined {
	return pickLowest(candidates, ({id}) => hashText(`${digest} ${id}`));
}

function listPrefixHolders(
	eligible: readonly Candidate[],
	request: PlacementRequest,
	policy: PlacementPolicy,
): readonly Candidate[] {
	return eligible.filter(
		(candidate) =>
			getCachedShare(candidate, request.prefixes) > 0 &&
			estimateLoadShare(candidate) <= policy.prefixLoadLimit,
	);
}

function scoreCandidate(
	candidate: Candidate,
	request: PlacementRequest,
	policy: PlacementPolicy,
): number {
	const load = estimateLoadShare(candidate);
	const cached =
		load <= policy.prefixLoadLimit
			? getCachedShare(candidate, request.prefixes)
			: 0;
	const distance = candidate.dataCentre === request.dataCentre ? 0 : 1;
	return load - cached * policy.prefixWeight + distance * policy.distanceWeight;
}

function pickLowest(
	candidates: readonly Candidate[],
	score: (candidate: Candidate) => number,
): Candidate | undefined {
	const scored = candidates.map((candidate) => ({
		candidate,
		value: score(candidate),
	}));
	const lowest = Math.min(...scored.map(({value}) => value));
	return scored.find(({value}) => value === lowest)?.candidate;
}
