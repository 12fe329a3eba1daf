/** Process facilities that the commands use; replaced in tests. */
export type Host = Readonly<{
	env: Readonly<Record<string, string | undefined>>;
	/** Writes a line to standard output. */
	writeResult: (line: string) => void;
	/** Writes a progress or error line to standard error. */
	writeMessage: (line: string) => void;
	/** Reads standard input to its end. */
	readInput: () => Promise<string>;
	/** Monotonic time in milliseconds. */
	now: () => number;
	/** Wall-clock time in milliseconds. */
	wall: () => number;
	/** Random number from 0 (inclusive) to 1 (exclusive). */
	random: () => number;
	createId: () => string;
	sleep: (ms: number) => Promise<void>;
}>;
