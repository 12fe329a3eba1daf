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
/** Says why the answer of a backend server is a flood; undefined if it is not. */
export function findStreamFlood({
	newEvents,
	idleParts,
	idleBytes,
}: StreamProgress): string | undefined {
	const maxIdleParts = MAX_IDLE_PARTS + newEvents * IDLE_PARTS_PER_EVENT;
	const maxIdleBytes = MAX_IDLE_BYTES + newEvents * IDLE_BYTES_PER_EVENT;
	return idleParts > maxIdleParts || idleBytes > maxIdleBytes
		? `flood: ${idleParts} parts of ${idleBytes} bytes without a new event`
		: undefined;
}
