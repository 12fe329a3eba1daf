import type {EngineLimits} from '@lovagevalve/routing';
import {addLoad, type BackendLoad} from './load.js';
import type {RelativeSpeed} from './server-speed.js';

/** A backend server that a request could be sent to. */
export type Candidate = Readonly<{
	id: string;
	address: string;
	dataCentre: string;
	slots: number;
	/** Load from this instance's requests. */
	ownLoad: BackendLoad;
	/** Load from the other instances' requests, as of their last reports. */
	othersLoad: BackendLoad;
	/** Whether it registered or answered recently. */
	isResponsive: boolean;
	/** Whether recent failures exclude it while others are available. */
	isAvoided: boolean;
	/** Learned speed; absent where the speeds of the service's servers are alike. */
	relativeSpeed?: RelativeSpeed;
}>;

/** A request that needs a backend server. */
export type PlacementRequest = Readonly<{
	/** Data centre of this instance. */
	dataCentre: string;
	/** Prompt tokens to process; 0 for requests to plain services. */
	promptTokens: number;
	/** Tokens in the KV cache when the answer is complete. */
	memoryTokens: number;
	/** Ids of backend servers that must not receive this request again. */
	excluded: readonly string[];
	/** Data centres to avoid if others are available, because this request failed there. */
	failedDataCentres: readonly string[];
	/** The only software version that may run the request; absent if any may. */
	softwareVersion?: string;
	/** Versions that may run the request by a roll-out, the preferred one first. */
	versions?: readonly string[];
	engine?: EngineLimits;
}>;

/** Cost of one running request, in prompt tokens that take as long to process. */
const RUNNING_REQUEST_COST_TOKENS = 250;
/** Cost of a preemption, in prompt tokens. A preempted request is processed again from the start. */
const PREEMPTION_COST_TOKENS = 20_000;
/** Cost of another data centre, in prompt tokens: a typical prompt, or one second of a latency target of four. Links between data centres lose packets and their traffic is billed. */
const REMOTE_COST_TOKENS = 5000;
/** Cost of another data centre for plain services, as a share of the slots. It must exceed `TIE_SLOT_SHARE`. */
const REMOTE_COST_SLOT_SHARE = 0.25;
/** Score difference in prompt tokens below which engines count as equal, so that instances with the same reports choose different ones. Less than half a typical prompt. */
const TIE_TOKENS = 2000;
/** The same for plain services, as a share of the slots. */
const TIE_SLOT_SHARE = 0.1;

/**
 * Expected time to the first event, in prompt tokens that an engine of the median speed
 * processes meanwhile, so that costs and ties are the same as without learned speeds.
 */
function computeFirstEventTokens(
	load: BackendLoad,
	{promptTokens}: PlacementRequest,
	{speed, eventSlowdown}: RelativeSpeed,
): number {
	const runningTokens =
		load.running * RUNNING_REQUEST_COST_TOKENS * eventSlowdown;
	return (load.prefillTokens + promptTokens + runningTokens) / speed;
}

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
	const penalty =
		(isFull ? PREEMPTION_COST_TOKENS : 0) + distance * REMOTE_COST_TOKENS;
	const {relativeSpeed} = candidate;
	return relativeSpeed === undefined
		? load.prefillTokens + load.running * RUNNING_REQUEST_COST_TOKENS + penalty
		: computeFirstEventTokens(load, request, relativeSpeed) + penalty;
}

function scorePlain(candidate: Candidate, request: PlacementRequest): number {
	const running = candidate.ownLoad.running + candidate.othersLoad.running;
	const distance = candidate.dataCentre === request.dataCentre ? 0 : 1;
	const slots = Math.max(1, candidate.slots);
	const {relativeSpeed} = candidate;
	return (
		(relativeSpeed === undefined
			? running / slots
			: (running + 1) / slots / relativeSpeed.speed) +
		distance * REMOTE_COST_SLOT_SHARE
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
 * Chooses the backend server that can start the request first. Many instances
 * place long prompts using the same load reports, so `random`, in [0, 1),
 * chooses among nearly equal scores, and the load that this instance has added
 * since the reports is included.
 */
export function chooseBackend(
	candidates: readonly Candidate[],
	request: PlacementRequest,
	random: number,
): Candidate | undefined {
	const allowed = candidates.filter(({id}) => !request.excluded.includes(id));
	const healthy = preferMatching(allowed, ({isAvoided}) => !isAvoided);
	const responsive = preferMatching(healthy, ({isResponsive}) => isResponsive);
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
