/** A backend server that crashed while it processed a request. */
export type Crash = Readonly<{
	/** Digest of the request's path, customer and body. */
	digest: string;
	/** Identifies the backend server and its incarnation. */
	backend: string;
}>;

type CrashEntry = Readonly<{backend: string; at: number}>;

/** Recent crashes by request digest. */
export type CrashHistory = ReadonlyMap<string, readonly CrashEntry[]>;

/** Crashes of different backend servers after which a request is quarantined. */
const QUARANTINE_CRASHES = 3;
/** Time after which a crash no longer counts; callers repeat a failed request within a minute. */
const CRASH_RETENTION_MS = 120_000;
/** Largest number of digests kept; the least recently updated are dropped first. */
const MAX_DIGESTS = 2000;

/** Time within which a request that crashes its backend server does so, from the start of its run. */
const SUSPECT_RUN_MS = 1000;

/**
 * Whether a request may have caused the crash of the backend server that ran it;
 * `runningMs` is the time since its first output, if there was any.
 */
export function isSuspectedCause(runningMs: number | undefined): boolean {
	return runningMs === undefined || runningMs < SUSPECT_RUN_MS;
}

/** Adds crashes. Several reports of the same crash for the same request count once. */
export function recordCrashes(
	history: CrashHistory,
	crashes: readonly Crash[],
	now: number,
): CrashHistory {
	const next = new Map(history);
	crashes.forEach(({digest, backend}) => {
		const recent = (next.get(digest) ?? []).filter(
			({at}) => now - at < CRASH_RETENTION_MS,
		);
		const isKnown = recent.some((crash) => crash.backend === backend);
		next.delete(digest);
		next.set(digest, isKnown ? recent : [...recent, {backend, at: now}]);
	});
	return new Map([...next].slice(-MAX_DIGESTS));
}

/** Lists the digests of requests that must not be sent to any backend server. */
export function listQuarantined(
	history: CrashHistory,
	now: number,
): readonly string[] {
	return [...history]
		.filter(
			([, crashes]) =>
				crashes.filter(({at}) => now - at < CRASH_RETENTION_MS).length >=
				QUARANTINE_CRASHES,
		)
		.map(([digest]) => digest);
}
