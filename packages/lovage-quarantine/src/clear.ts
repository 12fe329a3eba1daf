import {listKeys} from './deaths.js';
import {removeStrikes} from './evaluate.js';
import type {Death, QuarantineState, StrikeRecord} from './types.js';

/** Removes the strikes of suspects that completed. */
export function clearCompleted(
	state: QuarantineState,
	completed: readonly string[],
): QuarantineState {
	if (completed.length === 0 || !state.options.guards.clearCompleted) {
		return state;
	}

	const done = new Set(completed);
	const records = Object.entries(state.records).filter(
		([digest]) => !done.has(digest),
	);
	const deaths = state.deaths.map((death) => ({
		...death,
		digests: death.digests.filter((digest) => !done.has(digest)),
	}));
	return {...state, records: Object.fromEntries(records), deaths};
}

function removeSuspect(death: Death, key: string): Death {
	const {parts, digests} = death;
	return {
		...death,
		digests: digests.filter((digest) => digest !== key),
		...(parts === undefined
			? {}
			: {
					parts: Object.fromEntries(
						Object.entries(parts).filter(([part]) => part !== key),
					),
				}),
	};
}

function removeConviction<Value>(
	convictions: Readonly<Record<string, Value>>,
	key: string,
	isEnded: (conviction: Value) => boolean,
): Readonly<Record<string, Value>> {
	return Object.fromEntries(
		Object.entries(convictions).filter(
			([convicted, conviction]) => convicted !== key || !isEnded(conviction),
		),
	);
}

/** Keeps the time of a sound run of a suspect, which later deaths don't take away. */
function recordSound(
	state: QuarantineState,
	key: string,
	soundAt: number,
): QuarantineState {
	const record = state.records[key];
	const isSuspect =
		record !== undefined ||
		state.deaths.some((death) => listKeys(death).includes(key));
	if (!isSuspect) {
		return state;
	}

	const updated: StrikeRecord = {
		...(record ?? {strikes: 0, deathTimes: []}),
		lastAt: state.now,
		soundAt: Math.max(record?.soundAt ?? soundAt, soundAt),
	};
	return {...state, records: {...state.records, [key]: updated}};
}

function clearOne(
	state: QuarantineState,
	key: string,
	soundAt: number,
): QuarantineState {
	const cleared = removeStrikes(
		recordSound(state, key, soundAt),
		key,
		(time) => time <= soundAt,
	);
	return {
		...cleared,
		deaths: cleared.deaths.map((death) =>
			death.reportedAt <= soundAt ? removeSuspect(death, key) : death,
		),
		convicted: removeConviction(cleared.convicted, key, (at) => at <= soundAt),
		...(cleared.uncertain === undefined
			? {}
			: {
					uncertain: removeConviction(
						cleared.uncertain,
						key,
						({lastAt}) => lastAt <= soundAt,
					),
				}),
	};
}

/**
 * Clears what was seen to run soundly, up to the time at which it was. A run that
 * was under way at a conviction and gets past its start ends the conviction too.
 */
export function clearSound(
	state: QuarantineState,
	sound: Readonly<Record<string, number>>,
): QuarantineState {
	return Object.entries(sound).reduce(
		(current, [key, soundAt]) => clearOne(current, key, soundAt),
		state,
	);
}
