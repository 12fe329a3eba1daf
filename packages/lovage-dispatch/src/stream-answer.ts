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

/** Events that a run brought and the caller had. */
export type RepeatedEvents = 'none' | 'last' | 'others';

/** The proper end of a run. */
export type RunEnd = Readonly<{
	/** Whether the run brought an event that the caller did not have. */
	hasNewEvent: boolean;
	/** The last event of the caller, from this or an earlier run. */
	lastEventId: string | undefined;
	/** The event behind which the run was to begin. */
	resumeId: string | undefined;
	repeated: RepeatedEvents;
}>;

/** Whether a stream is complete after the proper end of a run. */
export type StreamEndDecision = 'complete' | 'ask-another';

const HTTP_OK = 200;
const EVENT_STREAM_TYPE = 'text/event-stream';
const COMMENT_OR_FIELD = /^(?::|(?:data|event|id|retry)(?::|$))/;
/** A header that changes in the middle of a stream, in lower case, before the fields. */
const LEADING_LINE = /^[a-z][a-z\d-]*: ?\S*$/;
/** Characters of the longest id, a number of 64 bits. */
const MAX_EVENT_ID_LENGTH = 20;
const WHOLE_NUMBER = /^\d+$/;

/** Whether a text, in characters, is no longer than the id of an event can be. */
export function hasEventIdLength(text: string): boolean {
	return text.length <= MAX_EVENT_ID_LENGTH;
}

/** Whether a text is the id of an event, which goes into heads and log lines. */
function isEventId(text: string): boolean {
	return hasEventIdLength(text) && WHOLE_NUMBER.test(text);
}

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

	if (id === undefined || !hasData || !isEventId(id)) {
		return 'foreign';
	}

	return lastEventId !== undefined && Number(id) <= Number(lastEventId)
		? 'known'
		: 'next';
}

/**
 * Chooses the event behind which a run begins. After a run that ended without a new
 * event, the next one is asked for the last event again. The caller has that one, but
 * a backend server that sends it reads the stream, and its end is that of the stream.
 */
export function chooseResumeId(
	lastEventId: string | undefined,
	hasQuietEnd: boolean,
): string | undefined {
	if (lastEventId === undefined || !hasQuietEnd) {
		return lastEventId;
	}

	if (!isEventId(lastEventId)) {
		return lastEventId;
	}

	const id = BigInt(lastEventId);
	return id === 0n ? undefined : String(id - 1n);
}

/** Adds an event that the caller has to those that a run brought. */
export function addRepeated(
	repeated: RepeatedEvents,
	id: string,
	lastEventId: string | undefined,
): RepeatedEvents {
	return repeated !== 'others' && Number(id) === Number(lastEventId)
		? 'last'
		: 'others';
}

/** Whether a run was asked for the last event again and brought that one alone. */
function hasRepeatedLast({lastEventId, resumeId, repeated}: RunEnd): boolean {
	return resumeId !== lastEventId && repeated === 'last';
}

/**
 * Decides whether a stream is complete when a run has ended properly. Nothing but
 * that end announces it. A run that brought nothing proves nothing, however many
 * agree: the one before may have broken off behind the last event, or this one may
 * have failed. Nor does one that brought events it wasn't asked for.
 */
export function decideStreamEnd(end: RunEnd): StreamEndDecision {
	return end.hasNewEvent || hasRepeatedLast(end) ? 'complete' : 'ask-another';
}
