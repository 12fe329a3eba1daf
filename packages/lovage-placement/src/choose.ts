import {hashText} from './hash.js';
import {estimateLoadShare, estimateOccupancy, getCachedShare} from './load.js';
import {sample} from './sample.js';
import {
	DEFAULT_PLACEMENT_POLICY,
	type Candidate,
	type PlacementPolicy,
	type PlacementRequest,
} from './types.js';

/** Whether a backend server can accept this request now. */
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

/** Whether no other suspect runs on the backend server; two suspects must never share one. */
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
 * Chooses a backend server with free capacity; undefined if there is none. Only
 * a few candidates, sampled by `random` in [0, 1), and those that cache the
 * prompt's prefix are compared, so that entries with the same load reports don't
 * all choose the same server.
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

/** Prefers servers in other data centres, as a failure may affect a whole data centre. */
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
 * Assigns suspects to servers so that all entries agree without coordination.
 * In the shared order, each suspect gets the remaining server with the lowest
 * hash (rendezvous hashing). The next round starts when no server remains. One
 * server is reserved for the leading suspect.
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
			// Later rounds must not use the server that the first round reserved.
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
	// Suspects of one crash failed in the same data centre, so their entries agree
	// on the servers elsewhere. With a leading suspect, suspects of several crashes
	// must agree, so all servers are used.
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
		// Entries that don't know of all crashes yet assign from other sets of servers.
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
