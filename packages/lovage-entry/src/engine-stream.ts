import {createInterimBound} from '@lovagevalve/runtime';
import {
	engineDoneSchema,
	engineTokensSchema,
	type EngineStart,
} from '@lovagevalve/wire';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {Client, type Dispatcher} from 'undici';
import {
	createIdleBound,
	createLineBreakNormaliser,
	isWithinTokens,
} from './answer-bounds.js';

const CONNECT_TIMEOUT_MS = 1000;
/** Engines send events of a few tokens. */
const MAX_EVENT_CHARACTERS = 131_072;
const TRANSIENT_STATUSES: ReadonlySet<number> = new Set([
	404, 408, 409, 429, 500, 502, 503, 504,
]);

/** A chunk of tokens received from an engine. */
export type EngineChunk = Readonly<{
	generation: string;
	attempt: number;
	offset: number;
	tokens: readonly string[];
}>;

/**
 * Callbacks of one connection to an engine, in order of arrival; none is called
 * after the stream is closed.
 */
export type EngineListener = Readonly<{
	onOpen: () => void;
	onChunk: (chunk: EngineChunk) => void;
	onEnd: (
		end: Readonly<{generation: string; attempt: number; total: number}>,
	) => void;
	/** `isUnreached` is true if no connection was established. */
	onLost: (isUnreached: boolean) => void;
	onRefused: (isTransient: boolean) => void;
}>;

/** Starts a generation at an engine, or resumes reading one at an offset. */
export type EngineRequest =
	| {kind: 'start'; address: string; body: EngineStart}
	| {
			kind: 'resume';
			address: string;
			generation: string;
			attempt: number;
			offset: number;
			/** Maximum number of tokens in total. */
			maxTokens: number;
	  };

async function dispatch(
	client: Client,
	req: EngineRequest,
	signal: AbortSignal,
): Promise<Dispatcher.ResponseData> {
	const onInfo = createInterimBound(() => {
		void client.destroy();
	});
	if (req.kind === 'start') {
		return client.request({
			method: 'POST',
			path: '/v1/generations',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(req.body),
			signal,
			onInfo,
		});
	}

	const {generation, attempt, offset} = req;
	const id = encodeURIComponent(generation);
	return client.request({
		method: 'GET',
		path: `/v1/generations/${id}/stream?attempt=${attempt}&from=${offset}`,
		signal,
		onInfo,
	});
}

function parseData(event: EventSourceMessage): unknown {
	try {
		return JSON.parse(event.data) as unknown;
	} catch {
		return undefined;
	}
}

/**
 * Forwards an event to the listener; returns false if its data is malformed, or beyond
 * the tokens that were asked for.
 */
function handleEvent(
	event: EventSourceMessage,
	listener: EngineListener,
	maxTokens: number,
): boolean {
	if (event.event === 'tokens') {
		const chunk = engineTokensSchema.safeParse(parseData(event));
		const isValid = chunk.success && isWithinTokens(chunk.data, maxTokens);
		if (isValid) {
			listener.onChunk(chunk.data);
		}

		return isValid;
	}

	if (event.event === 'done') {
		const end = engineDoneSchema.safeParse(parseData(event));
		if (end.success) {
			listener.onEnd(end.data);
		}

		return end.success;
	}

	return true;
}

type ReadOptions = Readonly<{maxTokens: number; signal: AbortSignal}>;

async function readBody(
	res: Dispatcher.ResponseData,
	listener: EngineListener,
	{maxTokens, signal}: ReadOptions,
): Promise<void> {
	let isValid = true;
	const bound = createIdleBound();
	const parser = createParser({
		maxBufferSize: MAX_EVENT_CHARACTERS,
		onEvent(event) {
			if (isValid && !signal.aborted) {
				const counted: EngineListener = {
					...listener,
					onChunk(chunk) {
						bound.addTokens(chunk);
						listener.onChunk(chunk);
					},
				};
				isValid = handleEvent(event, counted, maxTokens);
			}
		},
		onError({type}) {
			isValid &&= type !== 'max-buffer-size-exceeded';
		},
	});
	const decoder = new TextDecoder();
	// With a carriage return in a chunk, the parser searches its rest again for each line.
	const normalise = createLineBreakNormaliser();
	for await (const chunk of res.body) {
		const bytes = chunk as Uint8Array;
		isValid &&= bound.addBytes(bytes.length);
		if (isValid) {
			parser.feed(normalise(decoder.decode(bytes, {stream: true})));
		}

		if (!isValid || signal.aborted) {
			return;
		}
	}
}

async function run(
	req: EngineRequest,
	listener: EngineListener,
	signal: AbortSignal,
): Promise<void> {
	let client: Client | undefined;
	let isUnreached = true;
	try {
		client = new Client(req.address, {
			pipelining: 1,
			connect: {timeout: CONNECT_TIMEOUT_MS},
			headersTimeout: 0,
			bodyTimeout: 0,
		});
		client.once('connect', () => {
			isUnreached = false;
		});
		const res = await dispatch(client, req, signal);
		if (signal.aborted) {
			return;
		}

		if (res.statusCode !== 200) {
			listener.onRefused(TRANSIENT_STATUSES.has(res.statusCode));
			return;
		}

		listener.onOpen();
		const {maxTokens} = req.kind === 'start' ? req.body : req;
		await readBody(res, listener, {maxTokens, signal});
	} catch {
		// Reported below, like a connection that closed early.
	} finally {
		void client?.destroy();
	}

	if (!signal.aborted) {
		listener.onLost(isUnreached);
	}
}

/**
 * Opens a stream over a dedicated connection. Returns a function that closes it;
 * the listener is not called afterwards.
 */
export function openEngineStream(
	req: EngineRequest,
	listener: EngineListener,
): () => void {
	const controller = new AbortController();
	void run(req, listener, controller.signal);
	return () => {
		controller.abort();
	};
}
