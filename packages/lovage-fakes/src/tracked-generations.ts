import {runGeneration, type GenerationCall, type Transcript} from './caller.js';
import {verifyTranscript} from './tokens.js';
import {waitFor} from './wait.js';

/** A generation call and its transcript. */
export type Answer = Readonly<{call: GenerationCall; transcript: Transcript}>;

/** Running generations and the progress of their callers. */
export type TrackedGenerations = Readonly<{
	calls: readonly GenerationCall[];
	/** Returns the address that last delivered tokens to a call. */
	findAddress: (call: GenerationCall) => string | undefined;
	/** Waits until each caller has received at least this many tokens. */
	waitForTokens: (count: number) => Promise<void>;
	answers: Promise<readonly Answer[]>;
}>;

/** Rotates a list to the left, so that callers start at different entries. */
export function rotate<T>(list: readonly T[], offset: number): readonly T[] {
	const start = offset % list.length;
	return [...list.slice(start), ...list.slice(0, start)];
}

/** Starts the calls concurrently. */
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

/** Returns whether an answer is complete and from a single run. */
export function isCompleteAnswer({call, transcript}: Answer): boolean {
	return (
		transcript.outcome === 'whole' &&
		transcript.faults.length === 0 &&
		transcript.tokens.length === call.maxTokens &&
		verifyTranscript(call.prompt, transcript.tokens)
	);
}
