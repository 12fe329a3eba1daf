import type {QuarantineState} from './types.js';

/** Number of windows for which deaths are kept, so that delayed reports can be merged. */
const DEATH_RETENTION_WINDOWS = 8;

/** Drops records older than their retention, and the oldest ones above the limit. */
export function dropExpired(state: QuarantineState): QuarantineState {
	const {options, now} = state;
	const deathRetentionMs = options.windowMs * DEATH_RETENTION_WINDOWS;
	return {
		...state,
		deaths: state.deaths
			.filter(({reportedAt}) => now - reportedAt < deathRetentionMs)
			.slice(-options.maxRecords),
		records: keepNewest(
			state.records,
			({lastAt}) => lastAt,
			now - options.suspectRetentionMs,
			options.maxRecords,
		),
		convicted: keepNewest(
			state.convicted,
			(at) => at,
			now - options.convictionRetentionMs,
			options.maxRecords,
		),
	};
}

function keepNewest<Value>(
	values: Readonly<Record<string, Value>>,
	getTime: (value: Value) => number,
	after: number,
	limit: number,
): Readonly<Record<string, Value>> {
	const entries = Object.entries(values);
	const kept = entries.filter(([, value]) => getTime(value) > after);
	if (kept.length <= limit) {
		return kept.length === entries.length ? values : Object.fromEntries(kept);
	}

	const newest = kept.toSorted(
		([, left], [, right]) => getTime(right) - getTime(left),
	);
	return Object.fromEntries(newest.slice(0, limit));
}
