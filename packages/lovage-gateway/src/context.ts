import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {
	BackendRecord,
	IncarnationProof,
	PlacementRequest,
	StreamOrigin,
} from '@lovagevalve/dispatch';
import type {Route, RouteTable, Service} from '@lovagevalve/routing';
import type {
	BufferBudget,
	BufferHolder,
	Clock,
	Logger,
	PrometheusMetrics,
} from '@lovagevalve/runtime';
import type {Admission} from './admission.js';
import type {BackendReach} from './backend-reach.js';
import type {AnswerTimes} from './answer-times.js';
import type {BackendView} from './backend-view.js';
import type {CrashWatch} from './crash-watch.js';
import type {ProblemResponse} from './problem-response.js';
import type {HeaderCodec, RequestMetadata} from './protocol.js';
import type {RequestGuard} from './guard.js';
import type {OriginLookup, OriginQuery} from './origin-lookup.js';
import type {RetryBudgets} from './retry-budgets.js';
import type {RolloutVersions} from './rollout-versions.js';
import type {Probe} from './shared-probes.js';
import type {StreamOrigins} from './stream-origins.js';

/** Questions to backend servers about which incarnation they are. */
export type IncarnationQuestions = Readonly<{
	/**
	 * Asks a backend server, or joins a question that is open if it was asked at
	 * `since` or later, in monotonic milliseconds.
	 */
	ask: (backend: BackendRecord, since?: number) => Promise<IncarnationProof>;
	/** Whether it left the last question without a word in time, a short while ago. */
	wasSilent: (backend: BackendRecord) => boolean;
}>;

/** Admission of requests while the entry drains. */
export type DrainCheck = Readonly<{
	/** Says why a request is refused; undefined if it may run. */
	check: (req: AcceptedRequest) => ProblemResponse | undefined;
}>;

/** Dependencies shared by all requests at an entry. */
export type GatewayContext = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
	/** Bytes that this entry buffers over all its connections. */
	buffers: BufferBudget;
	codec: HeaderCodec;
	view: BackendView;
	retryBudgets: RetryBudgets;
	answerTimes: Pick<AnswerTimes, 'record' | 'begin'>;
	/** Admission of requests while this entry drains. */
	drainGate: DrainCheck;
	/** Returns a random number in [0, 1). */
	random: () => number;
	dataCentre: string;
	/** Software versions of requests; absent where roll-outs are not in force. */
	rollouts?: RolloutVersions;
	/** Routes of the newest configuration; undefined until one is known. */
	readRouteTable: () => RouteTable | undefined;
	/** Origins of the streams that this entry has delivered events of. */
	origins: Pick<
		StreamOrigins,
		'record' | 'recordTold' | 'confirmBeginning' | 'find'
	>;
	/** Address at which this instance connects to a backend server. */
	resolveAddress: (backend: Pick<BackendRecord, 'address'>) => string;
	/** Asks the control instances for the origin of a resumed stream. */
	lookUpOrigin: (query: OriginQuery) => Promise<OriginLookup>;
	incarnations: IncarnationQuestions;
	/** Checks whether a backend server accepts a new connection. */
	probe: Probe;
	reach: Pick<BackendReach, 'isCutOff' | 'confirm'>;
	/** Addresses of entries that can take over requests, the nearest first. */
	listRelays: () => readonly string[];
	crashes: Pick<CrashWatch, 'findQuarantined' | 'reportCrash' | 'recordSound'>;
	/** Absent if streams are sent without waiting for room at an engine. */
	admission?: Pick<Admission, 'isOn' | 'enqueue' | 'reserve'>;
}>;

/** A request that passed validation and is ready to be forwarded. */
export type AcceptedRequest = Readonly<{
	metadata: RequestMetadata;
	route: Route;
	service: Service;
	/** Where the stream began that the caller resumes; absent for other requests. */
	origin?: StreamOrigin;
	customer: string | undefined;
	/** Priority of the customer, then of the route; 0 is the highest. */
	priority: number;
	/** Another entry sent it on, which reaches no backend server. */
	isRelayed: boolean;
	/** Digest of method, path, customer and body. */
	digest: string;
	method: string;
	path: string;
	rawHeaders: readonly string[];
	body: Uint8Array | undefined;
	res: ServerResponse;
	/** Runs the callbacks of this request. */
	guard: RequestGuard;
	startedAt: number;
	/**
	 * Earlier of the caller's and the route's deadline, in monotonic
	 * milliseconds.
	 */
	deadlineAt: number;
}>;

/** Who holds what is buffered for a caller. */
export function describeCaller(customer: string | undefined): BufferHolder {
	return {source: 'callers', name: customer ?? ''};
}

/** Time until a request's deadline, in whole milliseconds. */
export function readRemainingMs(
	ctx: GatewayContext,
	req: AcceptedRequest,
): number {
	return Math.floor(req.deadlineAt - ctx.clock.now());
}

/** Describes a request for backend selection. */
export function createPlacementRequest(
	ctx: GatewayContext,
	req: AcceptedRequest,
	excluded: readonly string[],
	failedDataCentres: readonly string[],
): PlacementRequest {
	const {promptTokens, outputTokens} = req.metadata;
	// A stream that is resumed runs where it began.
	const versions =
		req.origin === undefined
			? ctx.rollouts?.listVersions(req, req.service.name)
			: undefined;
	return {
		dataCentre: ctx.dataCentre,
		promptTokens,
		memoryTokens: promptTokens + outputTokens,
		excluded,
		failedDataCentres,
		engine: req.service.engine,
		...(versions === undefined ? {} : {versions}),
	};
}
