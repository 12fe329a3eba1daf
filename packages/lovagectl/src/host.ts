/** What the commands need from the process that runs them. */
export type Host = Readonly<{
	env: Readonly<Record<string, string | undefined>>;
	/** Writes a line of results. */
	writeResult: (line: string) => void;
	/** Writes a line about progress or a failure. */
	writeMessage: (line: string) => void;
	/** Reads standard input to its end. */
	readInput: () => Promise<string>;
	/** Monotonic milliseconds. */
	now: () => number;
	/** Wall-clock milliseconds. */
	wall: () => number;
	/** Number from 0 to 1. */
	random: () => number;
	createId: () => string;
	sleep: (ms: number) => Promise<void>;
}>;
