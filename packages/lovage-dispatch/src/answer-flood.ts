/** What has arrived of the answer to a stream. */
export type StreamProgress = Readonly<{
	/** Events that the stream did not have. */
	newEvents: number;
	/** Comments, and events that the stream had. */
	idleParts: number;
	idleBytes: number;
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
const MAX_EVENT_BURST = 4096;
/** The same where the caller says nothing of its size. */
const MAX_UNKNOWN_BURST = 16_384;
/** An engine takes milliseconds for the tokens of an event. */
const EVENTS_PER_MS = 1;

/** New events that may still arrive at once. */
export type EventCredit = Readonly<{
	events: number;
	/** Time at which that was so, in monotonic milliseconds. */
	at: number;
}>;

/**
 * Credit of a stream that begins. A caller may name fewer tokens than it is sent, so
 * they only allow more.
 */
export function createEventCredit(maxTokens: number, now: number): EventCredit {
	return {events: computeBurst(maxTokens), at: now};
}

function computeBurst(maxTokens: number): number {
	return maxTokens > 0
		? Math.max(MAX_EVENT_BURST, maxTokens)
		: MAX_UNKNOWN_BURST;
}

/**
 * Takes one new event from the credit, which grows at the pace of an engine, up to the
 * burst: what a stream did not use long ago is no licence to flood.
 */
export function spendEvent(
	{events, at}: EventCredit,
	maxTokens: number,
	now: number,
): EventCredit {
	const earned = events + Math.max(0, now - at) * EVENTS_PER_MS;
	return {events: Math.min(computeBurst(maxTokens), earned) - 1, at: now};
}

/** Says why the answer of a backend server is a flood; undefined if it is not. */
export function findStreamFlood(
	{newEvents, idleParts, idleBytes}: StreamProgress,
	{events}: EventCredit,
): string | undefined {
	const maxIdleParts = MAX_IDLE_PARTS + newEvents * IDLE_PARTS_PER_EVENT;
	const maxIdleBytes = MAX_IDLE_BYTES + newEvents * IDLE_BYTES_PER_EVENT;
	if (idleParts > maxIdleParts || idleBytes > maxIdleBytes) {
		return `flood: ${idleParts} parts of ${idleBytes} bytes without a new event`;
	}

	return events < 0
		? `flood: ${newEvents} events, more than one a millisecond`
		: undefined;
}
