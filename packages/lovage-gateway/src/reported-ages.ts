import {
	type AgesRequest,
	applyReportedAges,
	type BackendTable,
	type ControlReport,
	countReady,
	dropOldRecords,
} from '@lovagevalve/dispatch';

/** What this entry knows of the ages of registrations. */
export type ReportedAges = Readonly<{
	/** Ages up to this one, in milliseconds, may be left out of a report. */
	aboveMs: number;
	/**
	 * Time of the last report that included them. Ages are measured up to here, so
	 * that they do not grow while no control instance responds.
	 */
	receivedAt: number;
	/** Reports in a row whose number of backend servers differed from the entry's. */
	mismatches: number;
	/** No age may be left out. */
	needsAll: boolean;
}>;

/**
 * Interval at which the ages are requested. Changes of backend servers are part of
 * every report.
 */
const AGES_INTERVAL_MS = 1000;
/** Missed registrations up to which an age may be left out. */
const MAX_UNREPORTED_REGISTRATIONS = 1.5;
/** A change that control instances are still telling each other makes one report differ. */
const MAX_MISMATCHES = 2;

/** Creates the state of an entry that has received no ages. */
export function createReportedAges(
	registrationIntervalMs: number,
): ReportedAges {
	return {
		aboveMs: registrationIntervalMs * MAX_UNREPORTED_REGISTRATIONS,
		receivedAt: 0,
		mismatches: 0,
		needsAll: false,
	};
}

/** Requests the ages if they are due. */
export function createAgesRequest(
	{aboveMs, receivedAt, needsAll}: ReportedAges,
	now: number,
): AgesRequest {
	return {
		wantsAges: now - receivedAt > AGES_INTERVAL_MS,
		...(needsAll ? {} : {agesAboveMs: aboveMs}),
	};
}

/**
 * Merges the ages of a report into the table. Those that it leaves out are recent
 * if the control instance has as many backend servers in service; otherwise it may
 * not know some, and no registration counts as missed yet.
 */
export function mergeAges(
	ages: ReportedAges,
	table: BackendTable,
	{agesMs, agesAboveMs, readyCount, hasMore = false}: ControlReport,
	now: number,
): Readonly<{ages: ReportedAges; table: BackendTable}> {
	if (agesMs === undefined) {
		return {ages, table};
	}

	const isSameCount = readyCount === countReady(table);
	const isComplete = agesAboveMs === undefined || isSameCount;
	const restMs = isComplete ? agesAboveMs : undefined;
	const mismatches = isSameCount ? 0 : ages.mismatches + 1;
	return {
		ages: {
			...ages,
			receivedAt: isComplete ? now : ages.receivedAt,
			...(hasMore ? {} : {mismatches, needsAll: mismatches >= MAX_MISMATCHES}),
		},
		table: dropOldRecords(applyReportedAges(table, agesMs, now, restMs), now),
	};
}
