/** What an answer says about itself before its body. */
export type StreamAnswerHead = Readonly<{
	status: number;
	/** Absent if the answer names no type. */
	contentType: string | undefined;
}>;

/** Fields of a part of a body that ends with a blank line. */
export type StreamPart = Readonly<{
	/** Absent if it has none, and if it has several. */
	id: string | undefined;
	hasData: boolean;
	/** Whether each line is one that events have. */
	isWellFormed: boolean;
}>;

/** What a part of a body is to a stream. */
export type PartKind =
	/** The next event of the stream. */
	| 'next'
	/** An event that the caller has. */
	| 'known'
	/** It carries no data, such as a comment that keeps the connection open. */
	| 'comment'
	/** It doesn't belong to the stream, nor does what follows. */
	| 'foreign';

/**
 * Runs that ended properly without a new event, since the last one that was
 * delivered.
 */
export type QuietEnds = Readonly<{
	lastEventId: string | undefined;
	/** Each one once. */
	backends: readonly string[];
}>;

/** The proper end of a run. */
export type RunEnd = Readonly<{
	backend: string;
	/** Whether the run brought an event that the caller did not have. */
	hasNewEvent: boolean;
	/** The last event of the caller, from this or an earlier run. */
	lastEventId: string | undefined;
}>;

/** Whether a stream is complete after the proper end of a run. */
export type StreamEndDecision = Readonly<{
	kind: 'complete' | 'ask-another';
	quietEnds: QuietEnds;
}>;

/** The state of a stream before a run has ended. */
export const NO_QUIET_ENDS: QuietEnds = {lastEventId: undefined, backends: []};

const HTTP_OK = 200;
const EVENT_STREAM_TYPE = 'text/event-stream';
/** Backend servers that have to agree that nothing follows the last event. */
const REQUIRED_AGREEMENT = 2;
const COMMENT_OR_FIELD = /^(?::|(?:data|event|id|retry)(?::|$))/;
/** A header that changes in the middle of a stream, in lower case, before the fields. */
const LEADING_LINE = /^[a-z][a-z\d-]*: ?\S*$/;
const WHOLE_NUMBER = /^\d+$/;

/** Whether the body of an answer can hold events of a stream. */
export function isStreamAnswer({
	status,
	contentType,
}: StreamAnswerHead): boolean {
	const type = contentType?.split(';')[0]!.trim().toLowerCase();
	return (
		status === HTTP_OK && (type === undefined || type === EVENT_STREAM_TYPE)
	);
}

/** Reads the fields of a part of a body, with the blank line that ends it. */
export function parseStreamPart(text: string): StreamPart {
	const lines = text
		.split('\n')
		.map((line) => (line.endsWith('\r') ? line.slice(0, -1) : line))
		.filter((line) => line !== '');
	const fieldsAt = lines.findIndex((line) => COMMENT_OR_FIELD.test(line));
	const leading = fieldsAt === -1 ? lines : lines.slice(0, fieldsAt);
	const fields = fieldsAt === -1 ? [] : lines.slice(fieldsAt);
	const ids = fields.filter((line) => line.startsWith('id'));
	return {
		id: ids.length === 1 ? ids[0]!.slice('id:'.length).trim() : undefined,
		hasData: fields.some((line) => line.startsWith('data')),
		isWellFormed:
			ids.length <= 1 &&
			(fields.length > 0 || leading.length === 0) &&
			leading.every((line) => LEADING_LINE.test(line)) &&
			fields.every((line) => COMMENT_OR_FIELD.test(line)),
	};
}

/** Decides whether a part of a body is the next event of a stream. */
export function classifyPart(
	{id, hasData, isWellFormed}: StreamPart,
	lastEventId: string | undefined,
): PartKind {
	if (!isWellFormed) {
		return 'foreign';
	}

	if (id === undefined && !hasData) {
		return 'comment';
	}

	if (id === undefined || !hasData || !WHOLE_NUMBER.test(id)) {
		return 'foreign';
	}

	return lastEventId !== undefined && Number(id) <= Number(lastEventId)
		? 'known'
		: 'next';
}

/**
 * Decides whether a stream is complete when a run has ended properly. Nothing but
 * that end announces it. A run without a new event proves little: the one before
 * may have broken off behind the last event, or this one may have failed. So the
 * same has to be said by another backend server that was asked for what follows
 * the same event. A stream without any event is never complete.
 */
export function decideStreamEnd(
	known: QuietEnds,
	{backend, hasNewEvent, lastEventId}: RunEnd,
): StreamEndDecision {
	if (hasNewEvent) {
		return {kind: 'complete', quietEnds: NO_QUIET_ENDS};
	}

	const earlier = known.lastEventId === lastEventId ? known.backends : [];
	const backends = [...new Set([...earlier, backend])];
	const isAgreed =
		lastEventId !== undefined && backends.length >= REQUIRED_AGREEMENT;
	return {
		kind: isAgreed ? 'complete' : 'ask-another',
		quietEnds: {lastEventId, backends},
	};
}
