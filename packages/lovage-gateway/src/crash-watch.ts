import {
	type BackendRecord,
	type ControlReport,
	type Crash,
	type CrashReport,
	createIncarnationKey,
	type EntryReport,
} from '@lovagevalve/dispatch';
import {createPartKey, isPartKey} from '@lovagevalve/quarantine';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import type {RequestMetadata} from './protocol.js';

/** Identity of a request and of the parts of its prompt. */
export type SuspectRequest = Readonly<{
	digest: string;
	metadata: Pick<RequestMetadata, 'id' | 'sharedParts'>;
}>;

/** When a run that ended with its backend server was sent, and when it was lost, in monotonic milliseconds. */
export type RunTimes = Readonly<{sentAt: number; lostAt: number}>;

/** What this entry knows of requests and parts of prompts that crash backend servers. */
export type CrashWatch = Readonly<{
	/** Key of the request or of a part of its prompt that is quarantined. */
	findQuarantined: (req: SuspectRequest) => string | undefined;
	/**
	 * Records that a backend server crashed while it was processing a request.
	 */
	reportCrash: (
		req: SuspectRequest,
		backend: BackendRecord,
		times: RunTimes,
	) => void;
	/** Records that a run of a request got past its start. */
	recordSound: (req: SuspectRequest) => void;
	/** Applies the lists of a control instance. */
	applyReport: (
		control: string,
		report: Pick<ControlReport, 'convicted' | 'suspects'>,
	) => void;
	/** The crash part of this entry's report. */
	createReport: () => Pick<EntryReport, 'crashes' | 'crashReports' | 'soundMs'>;
}>;

/** Limit of crashes in one report. */
const MAX_REPORTED_CRASHES = 200;
/**
 * A crash is repeated in reports for this long, so that every reachable control
 * instance receives it.
 */
const CRASH_REPORT_MS = 3000;
/** A verdict that no control instance has repeated for this long is over. */
const QUARANTINE_TIMEOUT_MS = 3000;
/** Sound runs are reported for this long. */
const SOUND_REPORT_MS = 600_000;
/** Limit of the requests and parts that are remembered as sound; the oldest are dropped first. */
const MAX_SOUND = 4000;

function listKeys({digest, metadata}: SuspectRequest): readonly string[] {
	return [digest, ...metadata.sharedParts.map((part) => createPartKey(part))];
}

/** Why a request with a quarantined key is rejected. */
export function describeQuarantine(key: string): string {
	return isPartKey(key)
		? 'a part of the prompt crashes the backend servers that run it'
		: 'this request crashes the backend servers that run it';
}

/** Creates a watch without any crashes. */
export function createCrashWatch({
	clock,
	log,
	metrics,
}: Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
}>): CrashWatch {
	/** Last report time of each quarantined key. */
	const quarantinedAt = new Map<string, number>();
	/** Suspects by the control instance that lists them. */
	const suspects = new Map<string, readonly string[]>();
	const soundAt = new Map<string, number>();
	let crashes: ReadonlyArray<
		Readonly<{
			crash: Omit<CrashReport, 'ageMs' | 'sentAgeMs'>;
			times: RunTimes;
			/** Time at which it was confirmed. */
			at: number;
		}>
	> = [];

	const updateQuarantined = (keys: readonly string[]): void => {
		const now = clock.now();
		[...quarantinedAt]
			.filter(([, at]) => now - at > QUARANTINE_TIMEOUT_MS)
			.forEach(([key]) => {
				quarantinedAt.delete(key);
				log.info('A request or prompt part is no longer blocked.', {
					digest: key,
				});
			});
		keys.forEach((key) => {
			if (!quarantinedAt.has(key)) {
				log.warn('Blocking a request that crashes backend servers.', {
					digest: key,
				});
			}

			quarantinedAt.set(key, now);
		});
	};

	const listSound = (): Readonly<Record<string, number>> => {
		const now = clock.now();
		const recent = [...new Set([...suspects.values()].flat())]
			.map((key) => [key, now - (soundAt.get(key) ?? 0)] as const)
			.filter(([key, ageMs]) => soundAt.has(key) && ageMs < SOUND_REPORT_MS);
		return Object.fromEntries(recent);
	};

	return {
		findQuarantined: (req) =>
			listKeys(req).find((key) => quarantinedAt.has(key)),
		reportCrash(req, backend, times) {
			const {digest, metadata} = req;
			const {dataCentre} = backend;
			const crash: Crash = {digest, backend: createIncarnationKey(backend)};
			const parts = metadata.sharedParts;
			metrics.count('backend_crashes');
			log.warn('Backend server died while processing a request.', {
				...crash,
				request: metadata.id,
				parts: parts.join(' '),
				ranMs: Math.round(times.lostAt - times.sentAt),
				lostMs: Math.round(clock.now() - times.lostAt),
			});
			crashes = [
				...crashes,
				{crash: {...crash, dataCentre, parts}, times, at: clock.now()},
			].slice(-MAX_REPORTED_CRASHES);
		},
		recordSound(req) {
			listKeys(req).forEach((key) => {
				soundAt.delete(key);
				soundAt.set(key, clock.now());
			});
			[...soundAt.keys()]
				.slice(0, Math.max(0, soundAt.size - MAX_SOUND))
				.forEach((key) => {
					soundAt.delete(key);
				});
		},
		applyReport(control, report) {
			suspects.set(control, report.suspects ?? []);
			updateQuarantined(report.convicted);
		},
		createReport() {
			const now = clock.now();
			crashes = crashes.filter(({at}) => now - at < CRASH_REPORT_MS);
			const soundMs = listSound();
			return {
				crashes: crashes.map(({crash: {digest, backend}}) => ({
					digest,
					backend,
				})),
				crashReports: crashes.map(({crash, times}) => ({
					...crash,
					ageMs: now - times.lostAt,
					sentAgeMs: now - times.sentAt,
				})),
				...(Object.keys(soundMs).length === 0 ? {} : {soundMs}),
			};
		},
	};
}
