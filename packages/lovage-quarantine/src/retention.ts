import type {QuarantineState, StrikeRecord} from './types.js';

/** Number of windows for which deaths are kept, so that delayed reports can be merged. */
const DEATH_RETENTION_WINDOWS = 8;

/** Drops records older than their retention, and the oldest ones above the limit. */
export function dropExpired(state: QuarantineState): QuarantineState {
	const {options, now} = state;
	const deathRetentionMs =
		options.deathRetentionMs ?? options.windowMs * DEATH_RETENTION_WINDOWS;
	const released = releaseUncertain(state);
	return {
		...released,
		deaths: state.deaths
			.filter(({reportedAt}) => now - reportedAt < deathRetentionMs)
			.slice(-options.maxRecords),
		records: keepNewest(
			released.records,
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
		...(released.uncertain === undefined
			? {}
			: {
					uncertain: keepNewest(
						released.uncertain,
						({lastAt}) => lastAt,
						Number.NEGATIVE_INFINITY,
						options.maxRecords,
					),
				}),
	};
}

/**
 * Ends convictions of parts that had no lead. Their strikes are kept but for one,
 * so that the next death convicts them again.
 */
function releaseUncertain(state: QuarantineState): QuarantineState {
	const {uncertain = {}, options, now} = state;
	const {uncertainRetentionMs = 0} = options;
	const isDue = ({lastAt}: StrikeRecord): boolean =>
		now - lastAt >= uncertainRetentionMs;
	const released = Object.entries(uncertain).filter(([, record]) =>
		isDue(record),
	);
	if (released.length === 0) {
		return state;
	}

	const records = released.map(([key, record]): [string, StrikeRecord] => [
		key,
		{
			...record,
			strikes: record.strikes - 1,
			deathTimes: record.deathTimes?.slice(1),
			lastAt: now,
		},
	]);
	return {
		...state,
		records: {...state.records, ...Object.fromEntries(records)},
		uncertain: Object.fromEntries(
			Object.entries(uncertain).filter(([, record]) => !isDue(record)),
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
