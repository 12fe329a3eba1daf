import type {LogEntry} from '../../index.js';

/** Checks the invariants that must always hold across all replicas of a test. */
export function createInvariantChecks() {
	const applied = new Map<number, string>();
	const leaders = new Map<number, string>();
	const reads = new Map<string, number>();
	const violations: string[] = [];

	const report = (condition: boolean, violation: string): void => {
		if (!condition) {
			violations.push(violation);
		}
	};

	const findHighestApplied = (): number => Math.max(0, ...applied.keys());

	const listCommands = (until: number): string[] =>
		[...applied.entries()]
			.toSorted(([a], [b]) => a - b)
			.filter(([index]) => index <= until)
			.map(([, text]) => JSON.parse(text) as LogEntry)
			.flatMap((entry) => (entry.kind === 'command' ? [entry.data] : []));

	return {
		violations,
		findHighestApplied,
		/** State machine safety: no two replicas apply different entries at an index. */
		checkApplied(entry: LogEntry): void {
			const text = JSON.stringify(entry);
			const known = applied.get(entry.index) ?? text;
			applied.set(entry.index, known);
			report(
				known === text,
				`different entries applied at index ${entry.index}`,
			);
		},
		checkSnapshot(commands: readonly string[], index: number): void {
			const expected = JSON.stringify(listCommands(index));
			report(
				JSON.stringify(commands) === expected,
				'snapshot differs from the applied commands',
			);
		},
		/** Election safety: at most one leader per term. */
		checkLeader(term: number, replica: string): void {
			const known = leaders.get(term) ?? replica;
			leaders.set(term, known);
			report(known === replica, `two leaders in term ${term}`);
		},
		beginRead(read: string): void {
			reads.set(read, findHighestApplied());
		},
		/** A confirmed read includes everything that any replica had applied when it began. */
		checkRead(read: string, index: number): void {
			report(index >= (reads.get(read) ?? 0), `stale read ${read}`);
		},
	};
}
