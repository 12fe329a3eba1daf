import {setTimeout as delay} from 'node:timers/promises';
import type {Problem} from '@lovagevalve/wire';
import {createAddressBook} from './addresses.js';
import {
	streamOnce,
	type ConnectionEnd,
	type StreamMessage,
} from './caller-connection.js';

const RECONNECT_MS = 50;
const SILENCE_MS = 5000;
const GIVE_UP_MS = 60_000;
const MAX_RETRY_AFTER_MS = 2000;

/** What a caller asks for and how patient it is. */
export type GenerationCall = Readonly<{
	/** Base URLs known from the settings. */
	entries: readonly string[];
	/** Addresses kept from an earlier answer: the entries are not asked. */
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
	/** Takes a refusal as final even when it may come back. */
	acceptRefusal?: boolean;
	onProgress?: (tokens: number, address: string) => void;
}>;

/** One connection as the caller saw it. */
export type ConnectionRecord = Readonly<{
	address: string;
	fromOffset: number;
	end: ConnectionEnd;
}>;

/** What a caller received. */
export type Transcript = Readonly<{
	requestId: string;
	outcome: 'whole' | 'refused' | 'gave-up';
	tokens: readonly string[];
	/** Gaps, repeats and wrong totals, as text. */
	faults: readonly string[];
	problem?: Problem;
	firstTokenMs?: number;
	/** Longest wait between two deliveries after the first. */
	longestGapMs: number;
	connections: readonly ConnectionRecord[];
}>;

type Progress = {
	tokens: string[];
	faults: string[];
	cursor?: string;
	problem?: Problem;
	isWhole: boolean;
	firstTokenMs?: number;
	lastAt?: number;
	longestGapMs: number;
	connections: ConnectionRecord[];
};

function noteArrival(progress: Progress, startedAt: number): void {
	const now = performance.now();
	progress.firstTokenMs ??= now - startedAt;
	progress.longestGapMs = Math.max(
		progress.longestGapMs,
		now - (progress.lastAt ?? now),
	);
	progress.lastAt = now;
}

function takeMessage(
	progress: Progress,
	message: StreamMessage,
	startedAt: number,
): void {
	switch (message.kind) {
		case 'tokens': {
			const expected = progress.tokens.length;
			if (message.offset !== expected) {
				progress.faults.push(`offset ${message.offset}, not ${expected}`);
			}

			noteArrival(progress, startedAt);
			progress.tokens.push(...message.tokens);
			progress.cursor = message.cursor;
			return;
		}

		case 'done': {
			if (message.total !== progress.tokens.length) {
				progress.faults.push(
					`total ${message.total}, not ${progress.tokens.length}`,
				);
			}

			progress.isWhole = true;
			return;
		}

		case 'problem': {
			progress.problem = message.problem;
		}
	}
}

/** Tells whether the entry says where or when to come back. */
export function isTemporary(problem: Problem): boolean {
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
		progress.isWhole ||
		(problem !== undefined &&
			(call.acceptRefusal === true || !isTemporary(problem)))
	);
}

function createTranscript(
	call: GenerationCall,
	progress: Progress,
): Transcript {
	const refused = progress.problem === undefined ? 'gave-up' : 'refused';
	return {
		requestId: call.requestId,
		outcome: progress.isWhole ? 'whole' : refused,
		tokens: progress.tokens,
		faults: progress.faults,
		problem: progress.problem,
		firstTokenMs: progress.firstTokenMs,
		longestGapMs: progress.longestGapMs,
		connections: progress.connections,
	};
}

/** Runs a generation to its end, reconnecting with the last cursor. */
export async function runGeneration(call: GenerationCall): Promise<Transcript> {
	const startedAt = performance.now();
	const book = createAddressBook(call.entries, call.key, call.heldAddresses);
	const progress: Progress = {
		tokens: [],
		faults: [],
		isWhole: false,
		longestGapMs: 0,
		connections: [],
	};

	const connectOnce = async (): Promise<void> => {
		const address = await book.next();
		const fromOffset = progress.tokens.length;
		progress.problem = undefined;
		const end = await streamOnce({
			url: `${address}/v1/generations`,
			key: call.key,
			body: createBody(call, progress.tokens),
			cursor: progress.cursor,
			silenceMs: call.silenceMs ?? SILENCE_MS,
			onMessage(message) {
				takeMessage(progress, message, startedAt);
				call.onProgress?.(progress.tokens.length, address);
			},
		});
		progress.connections.push({address, fromOffset, end});
		if (end.kind === 'refused') {
			progress.problem = end.problem;
		}

		if (!isFinal(call, progress)) {
			book.avoid(address);
			book.prefer(progress.problem?.addresses ?? []);
		}
	};

	const connectUntilFinal = async (): Promise<void> => {
		await connectOnce();
		const waited = performance.now() - startedAt;
		if (isFinal(call, progress) || waited > (call.giveUpMs ?? GIVE_UP_MS)) {
			return;
		}

		const retryAfterMs = progress.problem?.retryAfterMs ?? RECONNECT_MS;
		await delay(Math.min(retryAfterMs, MAX_RETRY_AFTER_MS));
		return connectUntilFinal();
	};

	await connectUntilFinal();
	return createTranscript(call, progress);
}
