import {
	type BackendRecord,
	type ControlReport,
	readOwn,
} from '@lovagevalve/dispatch';
import {
	createQuarantine,
	DEFAULT_QUARANTINE_OPTIONS,
	type QuarantineEvent,
	type QuarantineOptions,
	type QuarantineState,
	stepQuarantine,
	summarizeQuarantine,
} from '@lovagevalve/quarantine';
import {
	type Clock,
	describeError,
	type Logger,
	runContained,
} from '@lovagevalve/runtime';
import {type CrashReport, selectNewEvidence} from './crash-evidence.js';
import type {QuarantineFile} from './quarantine-file.js';
import {
	logConvictions,
	logJudgedEvents,
	logReportedDeaths,
} from './quarantine-log.js';

/** Requests and parts of prompts that crash backend servers, from the reports of the entries. */
export type CrashQuarantine = Readonly<{
	applyReport: (
		report: CrashReport,
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
		logJudgedEvents(log, state, next);
		state = next;
		summary = summarizeQuarantine(state);
		logConvictions(log, state, {before, after: summary.convicted});
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

	runContained(load, (error) => {
		log.error('Failed to read the quarantine.', {
			reason: describeError(error),
		});
	});
	return {
		applyReport(report, findBackend) {
			if (state === undefined) {
				return;
			}

			const now = readNow();
			const {deaths, sound} = selectNewEvidence(
				state,
				report,
				findBackend,
				now,
			);
			if (deaths.length === 0 && Object.keys(sound).length === 0) {
				return;
			}

			logReportedDeaths(log, report.entry, deaths);
			apply({kind: 'deaths-reported', deaths, completed: [], sound, now});
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
