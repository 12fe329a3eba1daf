import type {EngineLimits} from '@lovagevalve/routing';
import {addLoad, type BackendLoad} from './load.js';

/** A backend server that could get a request. */
export type Candidate = Readonly<{
	id: string;
	address: string;
	dataCentre: string;
	slots: number;
	/** Requests of this instance. */
	ownLoad: BackendLoad;
	/** Requests of the other instances, as of their last reports. */
	othersLoad: BackendLoad;
	/** Registrations or answers came within the time that is usual. */
	isResponsive: boolean;
	/** A failure was seen so recently that the backend server is left alone. */
	isAvoided: boolean;
}>;

/** What is to be placed. */
export type PlacementRequest = Readonly<{
	/** Data centre of this instance. */
	dataCentre: string;
	/** Prompt tokens to read; 0 for plain requests. */
	promptTokens: number;
	/** Tokens in memory when the answer is complete. */
	memoryTokens: number;
	/** Backend servers that this request must not go to again. */
	excluded: readonly string[];
	/** Data centres that the request had better not go to. */
	failedDataCentres: readonly string[];
	engine?: EngineLimits;
}>;

/** Prompt tokens that cost as much time as one more running request does. */
const RUNNING_REQUEST_COST_TOKENS = 250;
/** Prompt tokens that a preempted request costs: it is read again as a whole. */
const PREEMPTION_COST_TOKENS = 20_000;
/** Prompt tokens that a choice of another data centre must save: a usual prompt, a second of a target of four. Links between data centres lose packets and their bytes are billed. */
const REMOTE_COST_TOKENS = 5000;
/** Part of the slots of a plain backend server that another data centre must save; more than a tie. */
const REMOTE_COST_SLOT_SHARE = 0.25;
/** Prompt tokens by which two scores count as equal, so that instances with the same reports do not all choose the same; less than half a usual prompt. */
const TIE_TOKENS = 2000;
const TIE_SLOT_SHARE = 0.1;

function scoreEngine(
	candidate: Candidate,
	request: PlacementRequest,
	engine: EngineLimits,
): number {
	const load = addLoad(candidate.ownLoad, candidate.othersLoad);
	const isFull =
		load.memoryTokens + request.memoryTokens > engine.memoryTokens ||
		load.running >= engine.slots;
	const distance = candidate.dataCentre === request.dataCentre ? 0 : 1;
	return (
		load.prefillTokens +
		load.running * RUNNING_REQUEST_COST_TOKENS +
		(isFull ? PREEMPTION_COST_TOKENS : 0) +
		distance * REMOTE_COST_TOKENS
	);
}

function scorePlain(candidate: Candidate, request: PlacementRequest): number {
	const running = candidate.ownLoad.running + candidate.othersLoad.running;
	const distance = candidate.dataCentre === request.dataCentre ? 0 : 1;
	return (
		running / Math.max(1, candidate.slots) + distance * REMOTE_COST_SLOT_SHARE
	);
}

function preferMatching(
	candidates: readonly Candidate[],
	isPreferred: (candidate: Candidate) => boolean,
): readonly Candidate[] {
	const preferred = candidates.filter(isPreferred);
	return preferred.length > 0 ? preferred : candidates;
}

/**
 * Chooses the backend server that starts the work first. Load pattern: many
 * instances place long prompts by reports of the same age, so equal scores are
 * decided by `random`, in [0, 1), and the own work since the reports counts.
 */
export function chooseBackend(
	candidates: readonly Candidate[],
	request: PlacementRequest,
	random: number,
): Candidate | undefined {
	const allowed = candidates.filter(({id}) => !request.excluded.includes(id));
	const healthy = preferMatching(allowed, ({isAvoided}) => !isAvoided);
	const responsive = preferMatching(
		healthy,
		({isResponsive: isHeard}) => isHeard,
	);
	const usable = preferMatching(
		responsive,
		({dataCentre}) => !request.failedDataCentres.includes(dataCentre),
	);
	const {engine} = request;
	const scored = usable.map((candidate) => ({
		candidate,
		score:
			engine === undefined
				? scorePlain(candidate, request)
				: scoreEngine(candidate, request, engine),
	}));
	const lowest = Math.min(...scored.map(({score}) => score));
	const tie = engine === undefined ? TIE_SLOT_SHARE : TIE_TOKENS;
	const best = scored.filter(({score}) => score <= lowest + tie);
	return best[Math.floor(random * best.length)]?.candidate;
}
