import type {TimedRunRecord} from './run-record.js';

/** Work of one attempt, from the records of its engine. */
export type AttemptSummary = Readonly<{
	backend: string;
	generation: string;
	attempt: number;
	prompt: string;
	prefixLength: number;
	/** Tokens generated, or those up to the last progress record if the engine was killed. */
	produced: number;
	state: 'running' | 'done' | 'cancelled';
}>;

/** Work of the engines for a set of prompts. */
export type WorkSummary = Readonly<{
	attempts: readonly AttemptSummary[];
	produced: number;
	/** Delivered tokens that were recomputed as prefix. */
	recomputed: number;
}>;

function isSameAttempt(
	a: Readonly<{generation: string; attempt: number; backend: string}>,
	b: TimedRunRecord,
): boolean {
	return (
		'generation' in b &&
		a.generation === b.generation &&
		a.attempt === b.attempt &&
		a.backend === b.backend
	);
}

function getFinalState(
	last: TimedRunRecord | undefined,
): AttemptSummary['state'] {
	if (last?.kind !== 'ended') {
		return 'running';
	}

	return last.cancelled ? 'cancelled' : 'done';
}

/** Lists the attempts in the order of their start records. */
export function listAttempts(
	records: readonly TimedRunRecord[],
): readonly AttemptSummary[] {
	return records.flatMap((record) => {
		if (record.kind !== 'started') {
			return [];
		}

		const last = records.findLast(
			(other) => other.kind !== 'started' && isSameAttempt(record, other),
		);
		const produced = last && 'produced' in last ? last.produced : 0;
		const {backend, generation, attempt, prompt, prefixLength} = record;
		return [
			{
				backend,
				generation,
				attempt,
				prompt,
				prefixLength,
				produced,
				state: getFinalState(last),
			},
		];
	});
}

/** Summarizes the attempts for the given prompts. */
export function summariseWork(
	records: readonly TimedRunRecord[],
	prompts: readonly string[],
): WorkSummary {
	const attempts = listAttempts(records).filter(({prompt}) =>
		prompts.includes(prompt),
	);
	return {
		attempts,
		produced: attempts.reduce((sum, {produced}) => sum + produced, 0),
		recomputed: attempts.reduce((sum, one) => sum + one.prefixLength, 0),
	};
}

/** Returns the backend server with the most running attempts. */
export function findBusiestBackend(
	records: readonly TimedRunRecord[],
): string | undefined {
	const running = listAttempts(records).filter(
		({state}) => state === 'running',
	);
	const countRunning = (name: string): number =>
		running.filter(({backend}) => backend === name).length;
	const names = [...new Set(running.map(({backend}) => backend))];
	return names.toSorted((a, b) => countRunning(b) - countRunning(a))[0];
}
