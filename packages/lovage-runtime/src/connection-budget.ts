/** What a listener of a process is for. */
export type ListenerName =
	'callers' | 'directory' | 'readiness' | 'control' | 'instances' | 'metrics';

/** Connections of a listener, a new one included. */
export type ConnectionUse = Readonly<{
	listener: ListenerName;
	open: number;
	/** Open ones without a request under way, other than the new one. */
	idle: number;
	/** Open ones with a request under way. */
	busy: number;
}>;

/** Whether a new connection is kept, and how many idle ones are closed for it. */
export type ConnectionDecision =
	Readonly<{kind: 'admit'; closedIdle: number}> | Readonly<{kind: 'reject'}>;

/** Parts of the descriptors that listeners other than the one for callers may use. */
const LISTENER_SHARES: Readonly<
	Record<Exclude<ListenerName, 'callers'>, number>
> = {
	directory: 1 / 16,
	readiness: 1 / 32,
	control: 1 / 4,
	instances: 1 / 4,
	metrics: 1 / 32,
};
const MIN_CONNECTIONS = 8;
/** Listeners that share a process with the one for callers. */
const ENTRY_LISTENERS = ['directory', 'readiness', 'metrics'] as const;
/** Part of the descriptors for control instances, probes, files and Node.js itself. */
const KEPT_SHARE = 1 / 5;
const MIN_KEPT = 48;
const MAX_KEPT = 200;

/**
 * Descriptors that the connections of a listener may need. That of callers may use
 * what is left for requests, which includes the connections to backend servers.
 */
export function computeDescriptorLimit(
	listener: ListenerName,
	maxDescriptors: number,
): number {
	if (listener !== 'callers') {
		return Math.max(
			MIN_CONNECTIONS,
			Math.floor(maxDescriptors * LISTENER_SHARES[listener]),
		);
	}

	const kept = Math.min(
		MAX_KEPT,
		Math.max(MIN_KEPT, Math.floor(maxDescriptors * KEPT_SHARE)),
	);
	const others = ENTRY_LISTENERS.map((other) =>
		computeDescriptorLimit(other, maxDescriptors),
	).reduce((sum, limit) => sum + limit, 0);
	return Math.max(MIN_CONNECTIONS, maxDescriptors - kept - others);
}

/** Descriptors that connections need: a caller's request needs one to a backend server too. */
function countDescriptors({listener, open, busy}: ConnectionUse): number {
	return listener === 'callers' ? open + busy : open;
}

/** Number of idle connections to close, those that have been idle longest, so that the rest fits. */
export function countSurplusIdle(use: ConnectionUse, limit: number): number {
	return Math.min(use.idle, Math.max(0, countDescriptors(use) - limit));
}

/** Decides on a new connection. One with a request under way is never closed for it. */
export function decideConnection(
	use: ConnectionUse,
	limit: number,
): ConnectionDecision {
	const closedIdle = countSurplusIdle(use, limit);
	return countDescriptors(use) - closedIdle > limit
		? {kind: 'reject'}
		: {kind: 'admit', closedIdle};
}

/**
 * Requests of one connection that may be without their response. Ordinary callers wait
 * for each response, and pipelining ones in use send less than ten ahead.
 */
const MAX_UNANSWERED = 64;
/**
 * The same behind the first of each connection, over all connections of a process. At
 * about 10 KB for each they take a tenth of the heap of an entry (96 MB).
 */
const MAX_ALL_PIPELINED = 1024;

/** Requests without their response. */
export type UnansweredRequests = Readonly<{
	ofConnection: number;
	/** Behind the first one of each connection, over all connections. */
	allPipelined: number;
}>;

/** Whether a connection is closed for the requests that it has sent ahead. */
export function hasTooManyUnanswered({
	ofConnection,
	allPipelined,
}: UnansweredRequests): boolean {
	return (
		ofConnection > MAX_UNANSWERED ||
		(ofConnection > 1 && allPipelined > MAX_ALL_PIPELINED)
	);
}

/** An open connection without a request under way. */
export type IdleConnection = Readonly<{
	sinceMs: number;
	/** Bytes received when it became idle. */
	bytesBefore: number;
	/** When bytes were first seen that have not become a request. */
	inputMs?: number;
}>;

/** Notes whether bytes have come on an idle connection. */
export function noteInput(
	idle: IdleConnection,
	bytesRead: number,
	nowMs: number,
): IdleConnection {
	return idle.inputMs === undefined && bytesRead > idle.bytesBefore
		? {...idle, inputMs: nowMs}
		: idle;
}

/**
 * Whether the head of a request has taken too long. The limits of Node.js start with the
 * first byte of a head; blank lines before it restart the limit of idle connections.
 */
export function isHeadLate(
	{inputMs}: IdleConnection,
	limitMs: number,
	nowMs: number,
): boolean {
	return limitMs > 0 && inputMs !== undefined && nowMs - inputMs >= limitMs;
}
