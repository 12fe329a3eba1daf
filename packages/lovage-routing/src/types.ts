/** What may be done with a request after a failure. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service of a route and its share of the requests. */
export type RouteTarget = Readonly<{service: string; weight: number}>;

/** Requests of one host and path prefix, and how they are served. */
export type Route = Readonly<{
	name: string;
	/** Lower case, without a port. */
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	kind: RouteKind;
	/** Longest time that a request is kept waiting, in milliseconds. */
	timeoutMs: number;
	/** Time within which an answer, or the first event of a stream, is on time. */
	latencyTargetMs: number;
	/** Rank of the requests; 0 is the highest. */
	priority: number;
	targets: readonly RouteTarget[];
	/** Backend servers that one request may be sent to. */
	maxAttempts: number;
	/** Needs no customer's key. */
	isAnonymous: boolean;
	/** A stream may go on at another backend server after an event's id. */
	isResumable: boolean;
	/** Longest pause between events for which a stream is on time, in milliseconds. */
	gapTargetMs: number;
}>;

/** Limits of the model engines of a service. */
export type EngineLimits = Readonly<{
	/** Requests that run at once. */
	slots: number;
	/** Tokens of running requests and cached prompts that fit into memory. */
	memoryTokens: number;
	/** Engines copy the memory of a run to another engine as it grows. */
	canBackUp: boolean;
	/** Engines copy the memory of a run to another engine on order. */
	canCopy: boolean;
}>;

/** Backend servers that run the same program. */
export type Service = Readonly<{
	name: string;
	/** Connections that one backend server accepts from all callers. */
	maxConnections: number;
	/** Present where the backend servers are model engines. */
	engine?: EngineLimits;
}>;

/** Bounds on what a caller may send. */
export type RequestLimits = Readonly<{
	maxHeaderBytes: number;
	maxBodyBytes: number;
	headerTimeoutMs: number;
	idleTimeoutMs: number;
}>;

/** A customer and the keys that its callers send. */
export type Customer = Readonly<{
	name: string;
	keys: readonly string[];
	/** Takes precedence over the rank of the route. */
	priority?: number;
}>;

/** One version of all that operators configure. */
export type Configuration = Readonly<{
	version: number;
	routes: readonly Route[];
	services: readonly Service[];
	limits: RequestLimits;
	/** Absent where requests carry no keys. */
	customers?: readonly Customer[];
}>;
