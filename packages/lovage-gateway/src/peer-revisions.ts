import type {KnownRevision} from '@lovagevalve/dispatch';

type Mark = Readonly<{at: number; known: KnownRevision}>;

/** Revisions of the backend servers that this entry received from one control instance. */
export type PeerRevisions = Readonly<{
	known: KnownRevision | undefined;
	/** Since the last full answer, ready backend servers were left out. */
	hasGaps: boolean;
	/** Recent revisions, the oldest first. */
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
	known: undefined,
	hasGaps: false,
	marks: [],
};

/** Time in which a change at one control instance reaches the others. */
const GOSSIP_MARGIN_MS = 3000;
/** An entry without a primary control instance for longer receives all backend servers. */
const MARK_RETENTION_MS = 15_000;

/** Records an answer. */
export function recordRevision(
	{marks}: PeerRevisions,
	{known, isEndedOnly, sentAt}: RevisionAnswer,
): PeerRevisions {
	return {
		known,
		hasGaps: isEndedOnly,
		marks: [
			...marks.filter(({at}) => at > sentAt - MARK_RETENTION_MS),
			{at: sentAt, known},
		],
	};
}

/**
 * Chooses the revision after which a control instance is asked for all changes.
 * If it has left out ready backend servers, the entry has those that the primary
 * control instance knew at `syncedAt`; the others changed at most the margin
 * before. Undefined to request all.
 */
export function chooseFullRevision(
	{known, hasGaps, marks}: PeerRevisions,
	syncedAt: number,
): KnownRevision | undefined {
	return hasGaps
		? marks.findLast(({at}) => at <= syncedAt - GOSSIP_MARGIN_MS)?.known
		: known;
}
