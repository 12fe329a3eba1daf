/** A backend server died while it held a request. */
export type Crash = Readonly<{
	/** Digest of path, customer and body. */
	digest: string;
	/** Backend server and incarnation. */
	backend: string;
}>;

type CrashEntry = Readonly<{backend: string; at: number}>;

/** Crashes by the digest of the request. */
export type CrashHistory = ReadonlyMap<string, readonly CrashEntry[]>;

/** Deaths of different backend servers that convict a request. */
const QUARANTINE_CRASHES = 3;
/** Strikes are forgotten after this; callers come again within a minute. */
const CRASH_RETENTION_MS = 120_000;
/** Digests that are kept; the oldest go first. */
const MAX_DIGESTS = 2000;

/** Adds crashes; the same death of the same request counts once. */
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

/** Requests that may not be sent to any backend server again. */
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
