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
		isFreeOfOtherSuspects(candidate, request.suspect)
	);
}

/** A suspect never runs where another suspect does. */
function isFreeOfOtherSuspects(
	candidate: Candidate,
	suspect: string | undefined,
): boolean {
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
	candidates: readonly Candidate[],
	request: PlacementRequest,
	random: number,
	policy: PlacementPolicy = DEFAULT_PLACEMENT_POLICY,
): Candidate | undefined {
	const eligible = candidates.filter((candidate) =>
		isEligible(candidate, request),
	);
	const preferred = preferOtherDataCentres(
		eligible,
		request.failedDataCentres ?? [],
	);
	if (request.suspect !== undefined) {
		return chooseForSuspect(candidates, eligible, request, request.suspect);
	}

	const compared = [
		...sample(preferred, policy.sampleSize, random),
		...listServersWithPrefix(preferred, request, policy),
	];
	return pickLowestScore(compared, (candidate) =>
		scoreCandidate(candidate, request, policy),
	);
}

/** A loss may be that of a whole data centre: another one is safer. */
function preferOtherDataCentres(
	eligible: readonly Candidate[],
	failedDataCentres: readonly string[],
): readonly Candidate[] {
	const others = eligible.filter(
		({dataCentre}) => !failedDataCentres.includes(dataCentre),
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
	const roundSize = Math.max(1, servers.length - (hasLeading ? 1 : 0));
	const assignments = new Map<string, Candidate>();
	let remaining = servers;
	let roundServers = servers;
	suspects.forEach((suspect, index) => {
		if (index > 0 && index % roundSize === 0) {
			// The server that the first turn left is not used by the others either.
			roundServers =
				index === roundSize
					? servers.filter((one) => !remaining.includes(one))
					: roundServers;
			remaining = roundSize === servers.length ? servers : roundServers;
		}

		const server = pickByHash(remaining, suspect);
		if (server !== undefined) {
			assignments.set(suspect, server);
			remaining = remaining.filter((candidate) => candidate !== server);
		}
	});
	return assignments;
}

function chooseForSuspect(
	candidates: readonly Candidate[],
	eligible: readonly Candidate[],
	{
		suspects = [],
		leading,
		failedDataCentres = [],
		model,
		role,
	}: PlacementRequest,
	suspect: string,
): Candidate | undefined {
	const serving = candidates.filter(
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
	const serversElsewhere = preferOtherDataCentres(
		serving,
		failedDataCentres.slice(0, 1),
	);
	const assignments = assign(
		leading === undefined ? serversElsewhere : serving,
	);
	const assigned = new Set(assignments.values());
	if (suspect === leading) {
		const assignedEarlier = new Set(assign(serversElsewhere).values());
		// Entries that don't know all deaths yet place by other servers.
		const firstChoices = new Set(
			others.flatMap((other) =>
				[serving, serversElsewhere].map((servers) =>
					pickByHash(servers, other),
				),
			),
		);
		const unassigned = eligible.filter((one) => !assigned.has(one));
		const neverAssigned = unassigned.filter((one) => !assignedEarlier.has(one));
		const preferredByNone = neverAssigned.filter(
			(one) => !firstChoices.has(one),
		);
		return [preferredByNone, neverAssigned, unassigned, eligible]
			.map((servers) => pickByHash(servers, suspect))
			.find((server) => server !== undefined);
	}

	const assignedServer = assignments.get(suspect);
	const alreadyShared = eligible.filter((one) => assigned.has(one));
	return assignedServer !== undefined && eligible.includes(assignedServer)
		? assignedServer
		: pickByHash(alreadyShared.length > 0 ? alreadyShared : eligible, suspect);
}

function pickByHash(
	candidates: readonly Candidate[],
	digest: string,
): Candidate | undefined {
	return pickLowestScore(candidates, ({id}) => hashText(`${digest} ${id}`));
}

function listServersWithPrefix(
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

function pickLowestScore(
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
