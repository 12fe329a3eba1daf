/**
 * Source of time for the programs; state machines receive timestamps as input
 * instead.
 */
export type Clock = Readonly<{
	/** Monotonic time in milliseconds. */
	now: () => number;
	/** Wall-clock time in milliseconds since the Unix epoch. */
	wall: () => number;
}>;

/** Creates the clock of the process. */
export function createClock(): Clock {
	return {
		now: () => performance.now(),
		wall: () => Date.now(),
	};
}
