/** Result of connecting to several backend servers of a service at once. */
export type ReachRound = Readonly<{
	/** Backend servers that accepted a connection. */
	reached: number;
	/** Backend servers that were tried. */
	tried: number;
}>;

/** Whether this instance reaches the backend servers of a service. */
export type Reach =
	| Readonly<{kind: 'connected'}>
	/** None accepts a connection, though they may serve other instances. */
	| Readonly<{kind: 'cut-off'; since: number}>;

/** Reach of a service before the first check. */
export const CONNECTED: Reach = {kind: 'connected'};

/** Share of a round that must be reached again, so that a lossy link doesn't count as restored. */
const RESTORED_SHARE = 0.5;

/**
 * Applies a round of connections. One that succeeds shows that the links of this
 * instance work, and that the others are lost for themselves.
 */
export function applyReachRound(
	reach: Reach,
	{reached, tried}: ReachRound,
	now: number,
): Reach {
	if (tried === 0) {
		return CONNECTED;
	}

	switch (reach.kind) {
		case 'connected': {
			return reached === 0 ? {kind: 'cut-off', since: now} : reach;
		}

		case 'cut-off': {
			return reached >= tried * RESTORED_SHARE ? CONNECTED : reach;
		}
	}
}

/** An entry that could take over requests from one that is cut off. */
export type RelayCandidate = Readonly<{address: string; dataCentre: string}>;

/** Limit of the entries that are listed to one that is cut off. */
const MAX_RELAYS = 8;

/**
 * Chooses entries that take over the requests of one that is cut off, at random so
 * that the load spreads. Those of its data centre go first, unless most of them are
 * cut off as well. `random` returns numbers in [0, 1).
 */
export function chooseRelays(
	candidates: readonly RelayCandidate[],
	{dataCentre, cutOff}: Readonly<{dataCentre: string; cutOff: number}>,
	random: () => number,
): readonly string[] {
	const shuffled = candidates
		.map((candidate) => ({candidate, order: random()}))
		.toSorted((a, b) => a.order - b.order)
		.map(({candidate}) => candidate);
	const near = shuffled.filter((one) => one.dataCentre === dataCentre);
	const preferred = near.length >= cutOff ? near : [];
	return [...new Set([...preferred, ...shuffled])]
		.slice(0, MAX_RELAYS)
		.map(({address}) => address);
}
