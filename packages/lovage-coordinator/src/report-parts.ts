import {
	type BackendRecord,
	type BackendTable,
	type ControlReport,
	countReady,
	type KnownRevision,
	toAgedRecord,
} from '@lovagevalve/dispatch';

/** Backend servers with the revisions of their last changes. */
export type RevisedTable = Readonly<{
	table: BackendTable;
	/** Revision of the last change of each backend server, in ascending order. */
	changedRevisions: ReadonlyMap<string, number>;
	latest: KnownRevision;
}>;

type Change = Readonly<{record: BackendRecord; changedAt: number}>;

/**
 * Time for which backend servers that are gone are sent to new entries. Late
 * registrations of them arrive within seconds.
 */
const GONE_RETENTION_MS = 15_000;
/**
 * Larger answers, to many entries that start at once, pass the entries' time
 * limit on small links, and are then sent again in full.
 */
const MAX_CHANGES_PER_ANSWER = 128;

/** Lists changes after a revision, or all if there is none; the oldest first. */
function listChanges(
	{table, changedRevisions}: RevisedTable,
	known: KnownRevision | undefined,
	now: number,
): readonly Change[] {
	const changes: Change[] = [];
	for (const [id, changedAt] of changedRevisions) {
		const record = table.get(id);
		const isMissing =
			known === undefined
				? record?.state !== 'gone' || now - record.heardAt < GONE_RETENTION_MS
				: changedAt > known.revision;
		if (isMissing && record !== undefined) {
			changes.push({record, changedAt});
		}

		if (changes.length > MAX_CHANGES_PER_ANSWER) {
			break;
		}
	}

	return changes;
}

/** Describes the backend servers that changed after the revision that an entry knows. */
export function describeChanges(
	revised: RevisedTable,
	known: KnownRevision | undefined,
	now: number,
): Pick<ControlReport, 'known' | 'backends' | 'hasMore'> {
	const {latest} = revised;
	const base = known?.epoch === latest.epoch ? known : undefined;
	const changes =
		base?.revision === latest.revision ? [] : listChanges(revised, base, now);
	const sent = changes.slice(0, MAX_CHANGES_PER_ANSWER);
	const backends = sent.map(({record}) => toAgedRecord(record, now));
	return sent.length === changes.length
		? {known: latest, backends}
		: {
				known: {epoch: latest.epoch, revision: sent.at(-1)!.changedAt},
				backends,
				hasMore: true,
			};
}

/** Describes the ages of the registrations in service that are above a limit, or all. */
export function describeAges(
	table: BackendTable,
	aboveMs: number | undefined,
	now: number,
): Pick<ControlReport, 'agesMs' | 'agesAboveMs' | 'readyCount'> {
	const ages = [...table.values()]
		.filter(({state}) => state === 'ready')
		.map(({id, heardAt}) => [id, Math.round(now - heardAt)] as const)
		.filter(([, ageMs]) => aboveMs === undefined || ageMs > aboveMs);
	return {
		agesMs: Object.fromEntries(ages),
		agesAboveMs: aboveMs,
		readyCount: countReady(table),
	};
}
