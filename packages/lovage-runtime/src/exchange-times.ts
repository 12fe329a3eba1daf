import {
	createServer,
	type IncomingMessage,
	type RequestListener,
	type Server,
	type ServerResponse,
} from 'node:http';
import {startDeadline} from './deadline.js';
import {
	type ChunkBudget,
	MAX_SMALL_CHUNKS,
	takeSmallChunks,
} from './chunk-budget.js';
import {createChunkLease} from './fragmentation.js';
import {discardRest} from './request-body.js';

/** Times that a caller has for the parts of an exchange, in milliseconds. */
export type ExchangeTimes = Readonly<{
	/** For the head of a request, from its first byte or the connection on. */
	headMs: number;
	/** For a whole request. */
	requestMs: number;
	/** For taking a complete response, beside the time that its bytes need. */
	unreadMs: number;
	/** Lowest rate at which a caller takes a response. */
	minBytesPerMs: number;
	/** Interval in which requests that take too long are looked for. */
	checkMs: number;
}>;

/** Times of the listeners that aren't for callers' requests; the body of a configuration may take 30 s. */
export const DEFAULT_EXCHANGE_TIMES: ExchangeTimes = {
	headMs: 10_000,
	requestMs: 40_000,
	unreadMs: 30_000,
	minBytesPerMs: 64,
	checkMs: 1000,
};

/**
 * Closes connections whose caller doesn't take a complete response in time. Without
 * this they keep it in memory, and count as in use, for as long as the caller likes.
 * Progress says little: the windows of a slow caller open seldom.
 */
export function boundUnreadResponses(
	server: Server,
	{
		unreadMs,
		minBytesPerMs,
	}: Pick<ExchangeTimes, 'unreadMs' | 'minBytesPerMs'> = DEFAULT_EXCHANGE_TIMES,
): void {
	server.on('request', ({socket}: IncomingMessage, res: ServerResponse) => {
		res.once('prefinish', () => {
			const limitMs = unreadMs + socket.writableLength / minBytesPerMs;
			const cancelDeadline = startDeadline(limitMs, () => {
				socket.destroy();
			});
			res.once('close', cancelDeadline);
		});
	});
}

/** Creates an HTTP server at which no exchange lasts for as long as its caller likes. */
export function createTimedServer(
	handler: RequestListener,
	times = DEFAULT_EXCHANGE_TIMES,
): Server {
	const server = createServer(
		{
			headersTimeout: times.headMs,
			requestTimeout: times.requestMs,
			connectionsCheckingInterval: times.checkMs,
		},
		handler,
	);
	boundUnreadResponses(server, times);
	return server;
}

/**
 * Creates an HTTP server for requests without a body. The connection of one with a
 * body ends with its response, as nothing else would end a body without end.
 */
export function createBodilessServer(
	handler: RequestListener,
	times = DEFAULT_EXCHANGE_TIMES,
): Server {
	let budget: ChunkBudget = {
		chunks: MAX_SMALL_CHUNKS,
		atMs: performance.now(),
	};
	const takeChunks = (wanted: number): boolean => {
		const left = takeSmallChunks(budget, {
			wanted,
			nowMs: performance.now(),
			maxChunks: MAX_SMALL_CHUNKS,
		});
		budget = left ?? budget;
		return left !== undefined;
	};

	return createTimedServer((req, res) => {
		req.on('error', () => undefined);
		res.on('error', () => undefined);
		const {'content-length': length = '0', 'transfer-encoding': coding} =
			req.headers;
		if (length !== '0' || coding !== undefined) {
			res.shouldKeepAlive = false;
			discardRest(req, res, createChunkLease(takeChunks));
		}

		handler(req, res);
	}, times);
}
