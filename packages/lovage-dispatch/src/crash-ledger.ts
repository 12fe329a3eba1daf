/** A backend server died while it held a request. */
export type Crash = Readonly<{
	/** Digest of path, customer and body. */
	digest: string;
	/** Backend server and incarnation. */
	backend: string;
}>;

type Strike = Readonly<{backend: string; at: number}>;

/** Crashes by the digest of the request. */
export type CrashLedger = ReadonlyMap<string, readonly Strike[]>;

/** Deaths of different backend servers that convict a request. */
const CONVICTING_DEATHS = 3;
/** Strikes are forgotten after this; callers come again within a minute. */
const STRIKE_RETENTION_MS = 120_000;
/** Digests that are kept; the oldest go first. */
const MAX_DIGESTS = 2000;

/** Adds crashes; the same death of the same request counts once. */
export function recordCrashes(
	ledger: CrashLedger,
	crashes: readonly Crash[],
	now: number,
): CrashLedger {
	const next = new Map(ledger);
	crashes.forEach(({digest, backend}) => {
		const strikes = (next.get(digest) ?? []).filter(
			({at}) => now - at < STRIKE_RETENTION_MS,
		);
		const isKnown = strikes.some((strike) => strike.backend === backend);
		next.delete(digest);
		next.set(digest, isKnown ? strikes : [...strikes, {backend, at: now}]);
	});
	return new Map([...next].slice(-MAX_DIGESTS));
}

/** Requests that may not be sent to any backend server again. */
export function listConvicted(
	ledger: CrashLedger,
	now: number,
): readonly string[] {
	return [...ledger]
		.filter(
			([, strikes]) =>
				strikes.filter(({at}) => now - at < STRIKE_RETENTION_MS).length >=
				CONVICTING_DEATHS,
		)
		.map(([digest]) => digest);
}
