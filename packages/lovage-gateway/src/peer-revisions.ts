import type {KnownRevision} from '@lovagevalve/dispatch';

type Mark = Readonly<{at: number; known: KnownRevision}>;

/** Revisions of the backend servers that this entry received from one control instance. */
export type PeerRevisions = Readonly<{
	/** Up to here, all of them. */
	full: KnownRevision | undefined;
	/** Up to here, those that have ended. */
	ended: KnownRevision | undefined;
	/** Recent values of `ended`, the oldest first. */
	marks: readonly Mark[];
}>;

/** Answer of a control instance to a report. */
export type RevisionAnswer = Readonly<{
	known: KnownRevision;
	isEndedOnly: boolean;
	/** Time at which the report was sent. */
	sentAt: number;
}>;

/** Revisions of a control instance that has not answered yet. */
export const NO_REVISIONS: PeerRevisions = {
	full: undefined,
	ended: undefined,
	marks: [],
};

/** Time in which a change at one control instance reaches the others. */
const GOSSIP_MARGIN_MS = 3000;
/** An entry without a primary control instance for longer receives all backend servers. */
const MARK_RETENTION_MS = 15_000;

/** Picks the later of two revisions; one of an earlier start of the instance is worth nothing. */
function pickLater(
	newest: KnownRevision,
	other: KnownRevision | undefined,
): KnownRevision {
	return other?.epoch === newest.epoch && other.revision > newest.revision
		? other
		: newest;
}

/** Records an answer. */
export function recordRevision(
	{full, ended, marks}: PeerRevisions,
	{known, isEndedOnly, sentAt}: RevisionAnswer,
): PeerRevisions {
	const nextEnded = pickLater(known, ended);
	const keptFull = full?.epoch === known.epoch ? full : undefined;
	return {
		full: isEndedOnly ? keptFull : pickLater(known, full),
		ended: nextEnded,
		marks: [
			...marks.filter(
				({at, known: {epoch}}) =>
					at > sentAt - MARK_RETENTION_MS && epoch === known.epoch,
			),
			{at: sentAt, known: nextEnded},
		],
	};
}

/**
 * Chooses the revision after which a control instance is asked for all changes:
 * where its own full answers ended or, if that is later, where it was the margin
 * before `syncedAt`, since the primary control instance of that time knew as much.
 * Undefined to request all.
 */
export function chooseFullRevision(
	{full, marks}: PeerRevisions,
	syncedAt: number,
): KnownRevision | undefined {
	const mark = marks.findLast(({at}) => at <= syncedAt - GOSSIP_MARGIN_MS);
	return mark === undefined ? full : pickLater(mark.known, full);
}
