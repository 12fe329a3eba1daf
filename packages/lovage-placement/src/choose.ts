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
	const eligible = view.filter((candidate) => isEligible(candidate, request));
	const preferred = preferOtherPlaces(eligible, request.lostAt ?? []);
	if (request.suspect !== undefined) {
		return chooseForSuspect(view, eligible, request, request.suspect);
	}

	const compared = [
		...sample(preferred, policy.choices, random),
		...listPrefixHolders(preferred, request, policy),
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
 * Places suspects so that entries agree without talking: in the shared order,
 * each takes the best server that is left by its hash, and the next turn begins
 * when none is left. One server is kept for the leading suspect.
 */
function assignSuspects(
	servers: readonly Candidate[],
	suspects: readonly string[],
	hasLeading: boolean,
): ReadonlyMap<string, Candidate> {
	const room = Math.max(1, servers.length - (hasLeading ? 1 : 0));
	const places = new Map<string, Candidate>();
	let left = servers;
	let pool = servers;
	suspects.forEach((suspect, index) => {
		if (index > 0 && index % room === 0) {
			// The server that the first turn left is not used by the others either.
			pool =
				index === room ? servers.filter((one) => !left.includes(one)) : pool;
			left = room === servers.length ? servers : pool;
		}

		const place = pickByHash(left, suspect);
		if (place !== undefined) {
			places.set(suspect, place);
			left = left.filter((candidate) => candidate !== place);
		}
	});
	return places;
}

function chooseForSuspect(
	view: readonly Candidate[],
	eligible: readonly Candidate[],
	{suspects = [], leading, lostAt = [], model, role}: PlacementRequest,
	suspect: string,
): Candidate | undefined {
	const serving = view.filter(
		(candidate) =>
			candidate.state === 'serving' &&
			(model === undefined || candidate.models.includes(model)) &&
			(role === undefined || candidate.role === role),
	);
	const others = suspects.filter((other) => other !== leading);
	const assign = (servers: readonly Candidate[]) =>
		assignSuspects(servers, others, leading !== undefined);
	// Victims of one death have lost the same place; with a leading suspect, those
	// of several deaths must agree.
	const near = preferOtherPlaces(serving, lostAt.slice(0, 1));
	const places = assign(leading === undefined ? near : serving);
	const taken = new Set(places.values());
	if (suspect === leading) {
		const earlier = new Set(assign(near).values());
		// Entries that don't know all deaths yet place by other servers.
		const firstChoices = new Set(
			others.flatMap((other) =>
				[serving, near].map((servers) => pickByHash(servers, other)),
			),
		);
		const free = eligible.filter((one) => !taken.has(one));
		const unused = free.filter((one) => !earlier.has(one));
		const unwanted = unused.filter((one) => !firstChoices.has(one));
		return [unwanted, unused, free, eligible]
			.map((servers) => pickByHash(servers, suspect))
			.find((place) => place !== undefined);
	}

	const own = places.get(suspect);
	const shared = eligible.filter((one) => taken.has(one));
	return own !== undefined && eligible.includes(own)
		? own
		: pickByHash(shared.length > 0 ? shared : eligible, suspect);
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
