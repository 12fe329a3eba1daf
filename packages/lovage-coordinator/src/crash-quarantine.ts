import {
	type BackendRecord,
	type ControlReport,
	createIncarnationKey,
	type EntryReport,
	parseIncarnationKey,
	readOwn,
} from '@lovagevalve/dispatch';
import {
	createPartKey,
	createQuarantine,
	DEFAULT_QUARANTINE_OPTIONS,
	listJudgedEvents,
	type QuarantineEvent,
	type QuarantineOptions,
	type QuarantineState,
	type ReportedDeath,
	stepQuarantine,
	summarizeQuarantine,
} from '@lovagevalve/quarantine';
import {
	type Clock,
	describeError,
	type Logger,
	runContained,
} from '@lovagevalve/runtime';
import type {QuarantineFile} from './quarantine-file.js';

/** Requests and parts of prompts that crash backend servers, from the reports of the entries. */
export type CrashQuarantine = Readonly<{
	applyReport: (
		report: Pick<EntryReport, 'entry' | 'crashes' | 'crashReports' | 'soundMs'>,
		findBackend: (id: string) => BackendRecord | undefined,
	) => void;
	/** The quarantine's part of the response to a report. */
	describe: () => Pick<ControlReport, 'convicted' | 'suspects'>;
	/** Milliseconds since each conviction, for the other control instances. */
	listConvictions: () => Readonly<Record<string, number>>;
	mergeConvictions: (agesMs: Readonly<Record<string, number>>) => void;
	/** Drops what is outdated, and stores the state if it has changed. */
	maintain: () => Promise<void>;
}>;

const QUARANTINE_OPTIONS: QuarantineOptions = {
	...DEFAULT_QUARANTINE_OPTIONS,
	// Entries report the age of a crash, so that the deaths of a rack are seen at the same time.
	windowMs: 300,
	// Entries notice a silent server up to a second after each other.
	eventMs: 1000,
	deathRetentionMs: 120_000,
	uncertainStrikes: 5,
	// A run is past its start after a second; entries learn the suspects and report by then.
	soundReportMs: 2000,
	uncertainRetentionMs: 300_000,
	maxRecords: 500,
};
/** Suspects are listed for this long after their last death, so that entries report whether they run soundly. */
const SUSPECT_LISTING_MS = 30_000;
/** Limit of suspects in a response. */
const MAX_LISTED_SUSPECTS = 64;
/** Limit of the events in the log for one report, and of the servers of one. */
const MAX_LOGGED_EVENTS = 4;
const MAX_LOGGED_SERVERS = 16;
/** Difference in the age of a run by which repeated reports may differ. */
const AGE_JITTER_MS = 20;

/**
 * Creates the quarantine of a control instance. It is empty until the stored state
 * is read; entries repeat their reports for longer than that takes.
 */
export function createCrashQuarantine(
	{clock, log}: Readonly<{clock: Clock; log: Logger}>,
	file: QuarantineFile,
): CrashQuarantine {
	const startedAt = clock.now();
	/** Time of the quarantine when this process started; it stands still between processes. */
	let offsetMs = 0;
	let state: QuarantineState | undefined;
	let summary = summarizeQuarantine(createQuarantine(QUARANTINE_OPTIONS));
	let storedText = '';
	let isStoring = false;

	const readNow = (): number => offsetMs + clock.now() - startedAt;

	const describeCause = (
		{deaths}: QuarantineState,
		key: string,
	): Readonly<{crashes: number; backends: string}> => {
		const guilty = deaths.filter(
			({digests, parts = {}}) =>
				digests.includes(key) || Object.hasOwn(parts, key),
		);
		return {
			crashes: guilty.length,
			backends: guilty
				.map(({backend, incarnation}) =>
					createIncarnationKey({id: backend, bornAt: incarnation}),
				)
				.join(' '),
		};
	};

	const logChanges = (
		before: readonly string[],
		current: QuarantineState,
	): void => {
		const {convicted} = summary;
		convicted
			.filter((key) => !before.includes(key))
			.forEach((key) => {
				log.warn('Quarantined a cause of crashes.', {
					cause: key,
					hasLead: readOwn(current.convicted, key) !== undefined,
					...describeCause(current, key),
				});
			});
		before
			.filter((key) => !convicted.includes(key))
			.forEach((key) => {
				log.info('A quarantine ended.', {cause: key});
			});
	};

	const logJudged = (before: QuarantineState, after: QuarantineState): void => {
		listJudgedEvents(before, after)
			.slice(-MAX_LOGGED_EVENTS)
			.forEach(({deaths, startedAt, spanMs, suspect = '', ...verdict}) => {
				log.info('Judged an event in which backend servers died.', {
					event: Math.round(startedAt),
					ageMs: Math.round(after.now - startedAt),
					spanMs: Math.round(spanMs),
					died: deaths.length,
					backends: deaths
						.slice(0, MAX_LOGGED_SERVERS)
						.map(({backend, incarnation}) =>
							createIncarnationKey({id: backend, bornAt: incarnation}),
						)
						.join(' '),
					suspect,
					...verdict,
				});
			});
	};

	const store = async (): Promise<void> => {
		if (state === undefined || isStoring) {
			return;
		}

		const {deaths, records, convicted, uncertain} = state;
		const text = JSON.stringify({deaths, records, convicted, uncertain});
		if (text === storedText) {
			return;
		}

		isStoring = true;
		const stored = await file.save(state);
		isStoring = false;
		stored.match(
			() => {
				storedText = text;
			},
			(reason) => {
				log.warn('Failed to store the quarantine.', {reason});
			},
		);
	};

	const apply = (event: QuarantineEvent): void => {
		if (state === undefined) {
			return;
		}

		const before = summary.convicted;
		const next = stepQuarantine(state, event).state;
		logJudged(state, next);
		state = next;
		summary = summarizeQuarantine(state);
		logChanges(before, state);
		if (summary.convicted.some((key) => !before.includes(key))) {
			// All instances may be killed before the next maintenance.
			runContained(store, (error) => {
				log.warn('Failed to store the quarantine.', {
					reason: describeError(error),
				});
			});
		}
	};

	const load = async (): Promise<void> => {
		const loaded = await file.load();
		const stored = loaded.unwrapOr(undefined);
		if (loaded.isErr()) {
			log.error('Failed to read the quarantine.', {reason: loaded.error});
		}

		offsetMs = stored?.now ?? 0;
		state = {
			...createQuarantine(QUARANTINE_OPTIONS),
			...stored,
			options: QUARANTINE_OPTIONS,
		};
		summary = summarizeQuarantine(state);
		log.info('The quarantine is loaded.', {
			convicted: summary.convicted.length,
			suspects: summary.suspects.length,
		});
	};

	const isDue = ({deaths, now}: QuarantineState): boolean =>
		deaths.some(({verdict}) => verdict === 'pending') && readNow() > now;

	const listDeaths = (
		{
			crashes,
			crashReports,
		}: Pick<EntryReport, 'crashes' | 'crashReports' | 'entry'>,
		findBackend: (id: string) => BackendRecord | undefined,
		now: number,
	): readonly ReportedDeath[] => {
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
				...(sentAgeMs === undefined
					? {}
					: {sentAt: {[digest]: now - sentAgeMs}}),
			};
		});
	};

	const isNewDeath = ({
		backend,
		incarnation,
		digests,
		sentAt = {},
	}: ReportedDeath): boolean =>
		state?.deaths.some(
			(known) =>
				known.backend === backend &&
				known.incarnation === incarnation &&
				digests.every(
					(digest) =>
						known.digests.includes(digest) &&
						(sentAt[digest] ?? Number.POSITIVE_INFINITY) + AGE_JITTER_MS >=
							(known.sentAt?.[digest] ?? Number.NEGATIVE_INFINITY),
				),
		) === false;

	/** Whether a sound run clears strikes or a verdict, or is the first that is known. */
	const isNewSound = (key: string, soundAt: number): boolean => {
		const {records = {}, convicted = {}, uncertain = {}} = state ?? {};
		const record = readOwn(records, key);
		const convictedAt =
			readOwn(convicted, key) ?? readOwn(uncertain, key)?.lastAt;
		return (
			(convictedAt !== undefined && convictedAt <= soundAt) ||
			(record !== undefined &&
				(record.soundAt === undefined ||
					(record.deathTimes ?? []).some((time) => time <= soundAt)))
		);
	};

	runContained(load, (error) => {
		log.error('Failed to read the quarantine.', {
			reason: describeError(error),
		});
	});
	return {
		applyReport(report, findBackend) {
			const now = readNow();
			// Entries repeat their reports, most of which say nothing new.
			const deaths = listDeaths(report, findBackend, now).filter((death) =>
				isNewDeath(death),
			);
			const sound = Object.entries(report.soundMs ?? {})
				.map(([key, ageMs]): [string, number] => [key, now - ageMs])
				.filter(([key, soundAt]) => isNewSound(key, soundAt));
			if (deaths.length === 0 && sound.length === 0) {
				return;
			}

			deaths.forEach(({backend, incarnation, digests, parts = {}}) => {
				log.warn('An entry reported a crash.', {
					entry: report.entry,
					backend,
					bornAt: incarnation,
					digest: digests.join(' '),
					parts: Object.keys(parts).join(' '),
				});
			});
			apply({
				kind: 'deaths-reported',
				deaths,
				completed: [],
				sound: Object.fromEntries(sound),
				now,
			});
		},
		describe() {
			if (state !== undefined && isDue(state)) {
				apply({kind: 'ticked', now: readNow()});
			}

			const {convicted, suspects} = summary;
			const countStrikes = (key: string): number =>
				readOwn(state?.records ?? {}, key)?.strikes ?? 0;
			const isRecent = (key: string): boolean =>
				readNow() - (readOwn(state?.records ?? {}, key)?.lastAt ?? readNow()) <
				SUSPECT_LISTING_MS;
			const listed = suspects
				.filter((key) => isRecent(key))
				.toSorted((a, b) => countStrikes(b) - countStrikes(a))
				.slice(0, MAX_LISTED_SUSPECTS);
			// A run that was under way at a conviction may still clear the convicted.
			return {
				convicted,
				suspects: [...convicted.slice(0, MAX_LISTED_SUSPECTS), ...listed],
			};
		},
		listConvictions() {
			const now = readNow();
			return Object.fromEntries(
				Object.entries(state?.convicted ?? {}).map(([key, at]) => [
					key,
					now - at,
				]),
			);
		},
		mergeConvictions(agesMs) {
			const now = readNow();
			const unknown = Object.entries(agesMs).filter(
				([key]) => readOwn(state?.convicted ?? {}, key) === undefined,
			);
			if (unknown.length > 0) {
				const convicted = Object.fromEntries(
					unknown.map(([key, ageMs]) => [key, now - ageMs]),
				);
				apply({kind: 'convictions-received', convicted, now});
			}
		},
		async maintain() {
			apply({kind: 'ticked', now: readNow()});
			await store();
		},
	};
}
