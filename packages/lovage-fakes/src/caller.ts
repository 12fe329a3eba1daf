import {setTimeout as delay} from 'node:timers/promises';
import type {Problem} from '@lovagevalve/wire';
import {createAddressBook} from './addresses.js';
import {
	streamOnce,
	type ConnectionEnd,
	type StreamMessage,
} from './caller-connection.js';

const RECONNECT_DELAY_MS = 50;
const DEFAULT_IDLE_TIMEOUT_MS = 5000;
const DEFAULT_GIVE_UP_MS = 60_000;
const MAX_RETRY_DELAY_MS = 2000;

/** Parameters of a generation, and the caller's timeouts. */
export type GenerationCall = Readonly<{
	/** Base URLs of entries, from the settings. */
	entries: readonly string[];
	/** Addresses from an earlier answer, used in place of a request to the entries. */
	heldAddresses?: readonly string[];
	key: string;
	requestId: string;
	service: string;
	model?: string;
	prompt: string;
	maxTokens: number;
	deadlineMs?: number;
	silenceMs?: number;
	giveUpMs?: number;
	/** Treats every refusal as final, even a retryable one. */
	acceptRefusal?: boolean;
	onProgress?: (tokens: number, address: string) => void;
}>;

/** One connection and how it ended. */
export type ConnectionRecord = Readonly<{
	address: string;
	fromOffset: number;
	end: ConnectionEnd;
}>;

/** Everything that a caller received for one generation. */
export type Transcript = Readonly<{
	requestId: string;
	outcome: 'whole' | 'refused' | 'gave-up';
	tokens: readonly string[];
	/** Descriptions of missing or repeated tokens and of wrong totals. */
	faults: readonly string[];
	problem?: Problem;
	firstTokenMs?: number;
	/** Longest interval between two deliveries. */
	longestGapMs: number;
	connections: readonly ConnectionRecord[];
}>;

type Progress = {
	tokens: string[];
	faults: string[];
	cursor?: string;
	problem?: Problem;
	isComplete: boolean;
	firstTokenMs?: number;
	lastDeliveryAt?: number;
	longestGapMs: number;
	connections: ConnectionRecord[];
};

function recordDelivery(progress: Progress, startedAt: number): void {
	const now = performance.now();
	progress.firstTokenMs ??= now - startedAt;
	progress.longestGapMs = Math.max(
		progress.longestGapMs,
		now - (progress.lastDeliveryAt ?? now),
	);
	progress.lastDeliveryAt = now;
}

function applyMessage(
	progress: Progress,
	message: StreamMessage,
	startedAt: number,
): void {
	switch (message.kind) {
		case 'tokens': {
			const expected = progress.tokens.length;
			if (message.offset !== expected) {
				progress.faults.push(`offset ${message.offset}, expected ${expected}`);
			}

			recordDelivery(progress, startedAt);
			progress.tokens.push(...message.tokens);
			progress.cursor = message.cursor;
			return;
		}

		case 'done': {
			if (message.total !== progress.tokens.length) {
				progress.faults.push(
					`total ${message.total}, expected ${progress.tokens.length}`,
				);
			}

			progress.isComplete = true;
			return;
		}

		case 'problem': {
			progress.problem = message.problem;
		}
	}
}

/** Returns whether the problem names a delay or addresses for a retry. */
export function isRetryable(problem: Problem): boolean {
	return problem.retryAfterMs !== undefined || problem.addresses !== undefined;
}

function createBody(call: GenerationCall, delivered: readonly string[]) {
	const {requestId, service, model, prompt, maxTokens, deadlineMs} = call;
	return {
		requestId,
		service,
		model,
		prompt,
		maxTokens,
		deadlineMs,
		...(delivered.length > 0 ? {delivered} : {}),
	};
}

function isFinal(call: GenerationCall, progress: Progress): boolean {
	const {problem} = progress;
	return (
		progress.isComplete ||
		(problem !== undefined &&
			(call.acceptRefusal === true || !isRetryable(problem)))
	);
}

function createTranscript(
	call: GenerationCall,
	progress: Progress,
): Transcript {
	const incompleteOutcome =
		progress.problem === undefined ? 'gave-up' : 'refused';
	return {
		requestId: call.requestId,
		outcome: progress.isComplete ? 'whole' : incompleteOutcome,
		tokens: progress.tokens,
		faults: progress.faults,
		problem: progress.problem,
		firstTokenMs: progress.firstTokenMs,
		longestGapMs: progress.longestGapMs,
		connections: progress.connections,
	};
}

/** Runs a generation to its end and reconnects with the last cursor. */
export async function runGeneration(call: GenerationCall): Promise<Transcript> {
	const startedAt = performance.now();
	const addressBook = createAddressBook(
		call.entries,
		call.key,
		call.heldAddresses,
	);
	const progress: Progress = {
		tokens: [],
		faults: [],
		isComplete: false,
		longestGapMs: 0,
		connections: [],
	};

	const connectOnce = async (): Promise<void> => {
		const address = await addressBook.getAddress();
		const fromOffset = progress.tokens.length;
		progress.problem = undefined;
		const end = await streamOnce({
			url: `${address}/v1/generations`,
			key: call.key,
			body: createBody(call, progress.tokens),
			cursor: progress.cursor,
			silenceMs: call.silenceMs ?? DEFAULT_IDLE_TIMEOUT_MS,
			onMessage(message) {
				applyMessage(progress, message, startedAt);
				call.onProgress?.(progress.tokens.length, address);
			},
		});
		progress.connections.push({address, fromOffset, end});
		if (end.kind === 'refused') {
			progress.problem = end.problem;
		}

		if (!isFinal(call, progress)) {
			addressBook.deprioritize(address);
			addressBook.prioritize(progress.problem?.addresses ?? []);
		}
	};

	const connectUntilFinal = async (): Promise<void> => {
		await connectOnce();
		const elapsedMs = performance.now() - startedAt;
		if (
			isFinal(call, progress) ||
			elapsedMs > (call.giveUpMs ?? DEFAULT_GIVE_UP_MS)
		) {
			return;
		}

		const retryAfterMs = progress.problem?.retryAfterMs ?? RECONNECT_DELAY_MS;
		await delay(Math.min(retryAfterMs, MAX_RETRY_DELAY_MS));
		return connectUntilFinal();
	};

	await connectUntilFinal();
	return createTranscript(call, progress);
}
