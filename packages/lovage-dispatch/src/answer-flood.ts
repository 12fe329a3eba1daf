/** What has arrived of the answer to a stream. */
export type StreamProgress = Readonly<{
	/** Events that the stream did not have. */
	newEvents: number;
	/** Comments, and events that the stream had. */
	idleParts: number;
	idleBytes: number;
}>;

/** What bounds the events of a stream. */
export type EventAllowance = Readonly<{
	/** Tokens that the caller asked for; 0 if unknown. */
	maxTokens: number;
	/** Time since the request was sent to the backend server. */
	elapsedMs: number;
}>;

/** Progress of an answer of which nothing has arrived. */
export const NO_PROGRESS: StreamProgress = {
	newEvents: 0,
	idleParts: 0,
	idleBytes: 0,
};

/** A comment keeps a connection open for seconds; a run that is resumed may repeat its events. */
const MAX_IDLE_PARTS = 1024;
const MAX_IDLE_BYTES = 262_144;
/** Idle parts and bytes for each new event of a longer stream. */
const IDLE_PARTS_PER_EVENT = 8;
const IDLE_BYTES_PER_EVENT = 1024;
/** New events that may arrive at once, as of an answer that was kept or held up on its way. */
const MAX_EVENT_BURST = 1024;
/** An engine takes milliseconds for the tokens of an event. */
const MAX_EVENTS_PER_MS = 1;

/**
 * Says why the answer of a backend server is a flood; undefined if it is not. A
 * caller may name fewer tokens than it is sent, so they only allow a larger burst.
 */
export function findStreamFlood(
	{newEvents, idleParts, idleBytes}: StreamProgress,
	{maxTokens, elapsedMs}: EventAllowance,
): string | undefined {
	const maxIdleParts = MAX_IDLE_PARTS + newEvents * IDLE_PARTS_PER_EVENT;
	const maxIdleBytes = MAX_IDLE_BYTES + newEvents * IDLE_BYTES_PER_EVENT;
	if (idleParts > maxIdleParts || idleBytes > maxIdleBytes) {
		return `flood: ${idleParts} parts of ${idleBytes} bytes without a new event`;
	}

	const burst = Math.max(MAX_EVENT_BURST, maxTokens);
	return newEvents > burst + elapsedMs * MAX_EVENTS_PER_MS
		? `flood: ${newEvents} events in ${Math.round(elapsedMs)} ms`
		: undefined;
}
