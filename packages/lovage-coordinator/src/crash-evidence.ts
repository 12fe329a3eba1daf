import {
	type BackendRecord,
	type EntryReport,
	parseIncarnationKey,
	readOwn,
} from '@lovagevalve/dispatch';
import {
	createPartKey,
	type QuarantineState,
	type ReportedDeath,
} from '@lovagevalve/quarantine';

/** The part of an entry's report that concerns crashes. */
export type CrashReport = Pick<
	EntryReport,
	'entry' | 'crashes' | 'crashReports' | 'soundMs'
>;

/** What a report adds to the evidence; times in milliseconds of the quarantine. */
export type CrashEvidence = Readonly<{
	deaths: readonly ReportedDeath[];
	/** Time of the last sound run of each suspect. */
	sound: Readonly<Record<string, number>>;
}>;

/** Difference in the age of a run by which repeated reports may differ, in milliseconds. */
const AGE_JITTER_MS = 20;

function listDeaths(
	{crashes, crashReports}: CrashReport,
	findBackend: (id: string) => BackendRecord | undefined,
	now: number,
): readonly ReportedDeath[] {
	const detailed =
		crashReports ??
		crashes.map((crash) => ({
			...crash,
			dataCentre:
				findBackend(parseIncarnationKey(crash.backend).id)?.dataCentre ?? '',
			ageMs: 0,
			parts: [],
			sentAgeMs: undefined,
		}));
	return detailed.map((crash) => {
		const {backend, dataCentre, ageMs, digest, parts, sentAgeMs} = crash;
		const {id, bornAt} = parseIncarnationKey(backend);
		return {
			backend: id,
			incarnation: bornAt,
			dataCentre,
			digests: [digest],
			parts: Object.fromEntries(
				parts.map((part) => [createPartKey(part), [digest]]),
			),
			at: now - ageMs,
			...(sentAgeMs === undefined ? {} : {sentAt: {[digest]: now - sentAgeMs}}),
		};
	});
}

function isNewDeath(
	{deaths}: QuarantineState,
	{backend, incarnation, digests, sentAt = {}}: ReportedDeath,
): boolean {
	return !deaths.some(
		(known) =>
			known.backend === backend &&
			known.incarnation === incarnation &&
			digests.every(
				(digest) =>
					known.digests.includes(digest) &&
					(sentAt[digest] ?? Number.POSITIVE_INFINITY) + AGE_JITTER_MS >=
						(known.sentAt?.[digest] ?? Number.NEGATIVE_INFINITY),
			),
	);
}

/** Whether a sound run clears strikes or a verdict, or is the first that is known. */
function isNewSoundRun(
	{records, convicted, uncertain = {}}: QuarantineState,
	key: string,
	soundAt: number,
): boolean {
	const record = readOwn(records, key);
	const convictedAt =
		readOwn(convicted, key) ?? readOwn(uncertain, key)?.lastAt;
	return (
		(convictedAt !== undefined && convictedAt <= soundAt) ||
		(record !== undefined &&
			(record.soundAt === undefined ||
				(record.deathTimes ?? []).some((time) => time <= soundAt)))
	);
}

/**
 * Selects the evidence of a report that the quarantine does not hold yet: entries
 * repeat their reports, most of which say nothing new.
 */
export function selectNewEvidence(
	state: QuarantineState,
	report: CrashReport,
	findBackend: (id: string) => BackendRecord | undefined,
	now: number,
): CrashEvidence {
	return {
		deaths: listDeaths(report, findBackend, now).filter((death) =>
			isNewDeath(state, death),
		),
		sound: Object.fromEntries(
			Object.entries(report.soundMs ?? {})
				.map(([key, ageMs]): [string, number] => [key, now - ageMs])
				.filter(([key, soundAt]) => isNewSoundRun(state, key, soundAt)),
		),
	};
}
