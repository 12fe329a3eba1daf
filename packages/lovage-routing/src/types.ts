/** Whether a request may be sent again after a failure. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service that a route sends requests to, and its relative weight. */
export type RouteTarget = Readonly<{service: string; weight: number}>;

/** Rules for requests to one host and path prefix. */
export type Route = Readonly<{
	name: string;
	/** Host name in lower case, without a port. */
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	kind: RouteKind;
	/** Longest time until a request is answered or fails, in milliseconds. */
	timeoutMs: number;
	/** Longest time to an answer, or to the first event of a stream, that meets the service level. */
	latencyTargetMs: number;
	/** Priority of the requests; 0 is the highest. */
	priority: number;
	targets: readonly RouteTarget[];
	/** Largest number of backend servers that one request is sent to. */
	maxAttempts: number;
	/** Whether requests are accepted without a customer's key. */
	isAnonymous: boolean;
	/** Whether another backend server can continue a stream from an event's id. */
	isResumable: boolean;
	/** Longest pause between events that meets the service level, in milliseconds. */
	gapTargetMs: number;
}>;

/** Capacity and features of a service's model engines. */
export type EngineLimits = Readonly<{
	/** Largest number of concurrent requests. */
	slots: number;
	/** Size of the KV cache for running requests and cached prompts, in tokens. */
	memoryTokens: number;
	/** Whether engines continuously copy a run's KV cache to another engine. */
	canBackUp: boolean;
	/** Whether engines copy a run's KV cache to another engine on request. */
	canCopy: boolean;
}>;

/** Backend servers that run the same program. */
export type Service = Readonly<{
	name: string;
	/** Largest number of connections that one backend server accepts from all clients. */
	maxConnections: number;
	/** Present if the backend servers are model engines. */
	engine?: EngineLimits;
}>;

/** Limits on requests of callers. */
export type RequestLimits = Readonly<{
	maxHeaderBytes: number;
	maxBodyBytes: number;
	headerTimeoutMs: number;
	idleTimeoutMs: number;
}>;

/** A customer and its API keys. */
export type Customer = Readonly<{
	name: string;
	keys: readonly string[];
	/** Overrides the priority of the route. */
	priority?: number;
}>;

/** One version of the operators' configuration. */
export type Configuration = Readonly<{
	version: number;
	routes: readonly Route[];
	services: readonly Service[];
	limits: RequestLimits;
	/** Absent if requests need no keys. */
	customers?: readonly Customer[];
}>;
