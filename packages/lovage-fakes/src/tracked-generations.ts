import {runGeneration, type GenerationCall, type Transcript} from './caller.js';
import {verifyTranscript} from './tokens.js';
import {waitFor} from './wait.js';

/** A generation that was asked for, with what came. */
export type Answer = Readonly<{call: GenerationCall; transcript: Transcript}>;

/** Generations under way, with how far each caller is. */
export type TrackedGenerations = Readonly<{
	calls: readonly GenerationCall[];
	/** Address that served a call last. */
	findAddress: (call: GenerationCall) => string | undefined;
	/** Waits until each caller has this many tokens. */
	waitForTokens: (count: number) => Promise<void>;
	answers: Promise<readonly Answer[]>;
}>;

/** Puts the first `by` elements last, so that callers ask different entries. */
export function rotate<T>(list: readonly T[], offset: number): readonly T[] {
	const start = offset % list.length;
	return [...list.slice(start), ...list.slice(0, start)];
}

/** Starts the calls at the same time. */
export function trackGenerations(
	calls: readonly GenerationCall[],
): TrackedGenerations {
	const tokenCounts = new Map<string, number>();
	const addresses = new Map<string, string>();

	const answers = Promise.all(
		calls.map(async (call) => {
			const transcript = await runGeneration({
				...call,
				onProgress(tokens, address) {
					tokenCounts.set(call.requestId, tokens);
					addresses.set(call.requestId, address);
				},
			});
			return {call, transcript};
		}),
	);

	return {
		calls,
		findAddress: ({requestId}) => addresses.get(requestId),
		async waitForTokens(count) {
			await waitFor(`${count} tokens of each answer`, () =>
				calls.every(
					({requestId}) => (tokenCounts.get(requestId) ?? 0) >= count,
				),
			);
		},
		answers,
	};
}

/** Tells whether an answer is whole and of one run. */
export function isCompleteAnswer({call, transcript}: Answer): boolean {
	return (
		transcript.outcome === 'whole' &&
		transcript.faults.length === 0 &&
		transcript.tokens.length === call.maxTokens &&
		verifyTranscript(call.prompt, transcript.tokens)
	);
}
