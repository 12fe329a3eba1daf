/** Source of time for the shells; decisions get its readings as values. */
export type Clock = Readonly<{
	/** Monotonic milliseconds; never steps back. */
	now: () => number;
	/** Wall-clock milliseconds since the epoch. */
	wall: () => number;
}>;

/** Creates the clock of the process. */
export function createClock(): Clock {
	return {
		now: () => performance.now(),
		wall: () => Date.now(),
	};
}
