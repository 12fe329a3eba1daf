import {
	type BackendRecord,
	isRunningIncarnation,
	keepNewest,
	type LimitReports,
	type LimitStatement,
	readOwn,
} from '@lovagevalve/dispatch';
import type {Clock} from '@lovagevalve/runtime';
import {mapValues, NUMBER_ARITHMETIC} from './arithmetic.js';
import {createEntrySums} from './entry-sums.js';

/** Limits of backend servers as the entries report them, and what they sent. */
export type LimitRegistry = Readonly<{
	applyReport: (entry: string, limits: LimitReports) => void;
	/** Describes the limits for an entry, with what the others sent. */
	describe: (entry: string) => LimitReports;
	removeEntry: (entry: string) => void;
	/** Drops the limits of incarnations that have ended. */
	removeEnded: (find: (id: string) => BackendRecord | undefined) => void;
}>;

/** Time for which the end of a limit is sent to entries that may still apply it. */
const ENDED_RETENTION_MS = 10_000;

/** Creates a registry without any limits. */
export function createLimitRegistry(clock: Clock): LimitRegistry {
	const statements = new Map<string, LimitStatement>();
	const sent = createEntrySums(NUMBER_ARITHMETIC);
	return {
		applyReport(entry, limits) {
			const now = clock.now();
			sent.set(
				entry,
				mapValues(limits, (limit) => limit.sent),
			);
			Object.entries(limits).forEach(([key, {perSecond, ageMs}]) => {
				const statement = {perSecond, at: now - ageMs};
				statements.set(key, keepNewest(statements.get(key), statement));
			});
		},
		describe(entry) {
			const others = sent.sumOthers(entry);
			return Object.fromEntries(
				[...statements].map(([key, {perSecond, at}]) => [
					key,
					{perSecond, ageMs: clock.now() - at, sent: readOwn(others, key) ?? 0},
				]),
			);
		},
		removeEntry: sent.remove,
		removeEnded(find) {
			[...statements]
				.filter(([key, {perSecond, at}]) => {
					const isRunning = isRunningIncarnation(key, find);
					return (
						!isRunning ||
						(perSecond === undefined && clock.now() - at > ENDED_RETENTION_MS)
					);
				})
				.forEach(([key]) => {
					statements.delete(key);
				});
		},
	};
}
