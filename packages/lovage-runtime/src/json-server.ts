import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {encodeBody} from './body-encoding.js';
import type {BufferAccount, BufferBudget} from './buffer-budget.js';
import {openExchangeAccount} from './exchange-accounts.js';
import {createTimedServer, type ExchangeTimes} from './exchange-times.js';
import {hasTooManyValues, MAX_MESSAGE_BYTES} from './json-bounds.js';
import type {BufferSource} from './memory-budget.js';
import {
	type BodyRefusal,
	endWhenRead,
	readRequestBody,
} from './request-body.js';
import {parseRequestTarget} from './request-target.js';

/** Response of a handler. */
export type JsonResponse = Readonly<{
	status: number;
	/** Serialized as JSON; a string is sent unchanged. */
	body?: unknown;
	headers?: Readonly<Record<string, string>>;
}>;

/** A request; `path` excludes the query and `text` is the body. */
export type JsonRequest = Readonly<{
	method: string;
	path: string;
	query: URLSearchParams;
	text: string;
	/** IP address of the other end of the connection; absent once it is closed. */
	remoteAddress?: string;
}>;

/** Handles one request. */
export type JsonHandler = (call: JsonRequest) => Promise<JsonResponse>;

/** Handler and bounds of a server. */
export type JsonServerOptions = Readonly<{
	handler: JsonHandler;
	/** Receives errors of handlers. */
	onError: (error: unknown) => void;
	/** Budget of the process; each remote address is a holder. */
	buffers: BufferBudget;
	source: BufferSource;
	/** Longest body, by the request's method and target; that of a message if absent. */
	readMaxBodyBytes?: (method: string, target: string) => number;
	times?: ExchangeTimes;
}>;

/** Time for the body of a request; the largest take some seconds on a slow link. */
const BODY_LIMIT_MS = 30_000;
const IDLE_TIMEOUT_MS = 15_000;
const INTERNAL_ERROR: JsonResponse = {
	status: 500,
	body: {error: 'internal error'},
};
/** Longest response that is sent whatever else is buffered; the call was carried out. */
const MAX_SMALL_BYTES = 16_384;
const NO_ROOM: JsonResponse = {
	status: 503,
	body: {error: 'too many bytes are buffered'},
	headers: {'Retry-After': '1'},
};

function decodeText(content: Uint8Array): string | undefined {
	try {
		// A replaced character would make another text of it.
		const decoder = new TextDecoder('utf8', {fatal: true, ignoreBOM: true});
		return decoder.decode(content);
	} catch {
		return undefined;
	}
}

function createRefusal(reason: BodyRefusal): JsonResponse {
	switch (reason) {
		case 'too-large': {
			return {status: 413, body: {error: 'the body is too large'}};
		}

		case 'no-room': {
			return NO_ROOM;
		}

		case 'late': {
			return {status: 408, body: {error: 'the body did not end in time'}};
		}

		case 'fragmented': {
			return {
				status: 503,
				body: {error: 'too many small chunks are being read'},
				headers: NO_ROOM.headers!,
			};
		}
	}
}

async function answer(
	req: IncomingMessage,
	res: ServerResponse,
	account: BufferAccount,
	{handler, readMaxBodyBytes}: JsonServerOptions,
): Promise<JsonResponse | undefined> {
	const {method = 'GET', url = '/'} = req;
	const content = await readRequestBody(req, {
		res,
		account,
		maxBytes: readMaxBodyBytes?.(method, url) ?? MAX_MESSAGE_BYTES,
		limitMs: BODY_LIMIT_MS,
	});
	switch (content.kind) {
		case 'closed': {
			return undefined;
		}

		case 'refused': {
			return createRefusal(content.reason);
		}

		case 'read': {
			const body = content.body ?? new Uint8Array();
			if (hasTooManyValues(body)) {
				return {status: 413, body: {error: 'the body has too many values'}};
			}

			const text = decodeText(body);
			if (text === undefined) {
				return {status: 400, body: {error: 'the body is no UTF-8'}};
			}

			const target = parseRequestTarget(url);
			return target.isErr()
				? {status: 400, body: {error: target.error}}
				: handler({
						method,
						...target.value,
						text,
						remoteAddress: req.socket.remoteAddress,
					});
		}
	}
}

function send(
	req: IncomingMessage,
	res: ServerResponse,
	account: BufferAccount,
	{status, body, headers = {}}: JsonResponse,
): void {
	const payload = typeof body === 'string' ? body : JSON.stringify(body ?? {});
	const encoded = encodeBody(payload, req.headers['accept-encoding']);
	// A large response is buffered until its reader has received it.
	const {length} = encoded.content;
	if (length > MAX_SMALL_BYTES && !account.resize(length)) {
		send(req, res, account, NO_ROOM);
		return;
	}

	res.writeHead(status, {
		'Content-Type': 'application/json',
		...encoded.headers,
		...headers,
	});
	endWhenRead(req, res, encoded.content);
}

/**
 * Creates an HTTP server for JSON requests. An error of one, in the handler or
 * around it, is answered with 500 and reported to `onError`.
 */
export function createJsonServer(options: JsonServerOptions): Server {
	const {onError, buffers, source, times} = options;
	const server = createTimedServer(async (req, res) => {
		req.on('error', () => undefined);
		res.on('error', () => undefined);
		const holder = {source, name: req.socket.remoteAddress ?? ''};
		const account = openExchangeAccount(buffers, holder, res);
		try {
			const response = await answer(req, res, account, options);
			if (response !== undefined) {
				send(req, res, account, response);
			}
		} catch (error) {
			onError(error);
			if (res.headersSent) {
				res.destroy();
			} else {
				send(req, res, account, INTERNAL_ERROR);
			}
		}
	}, times);
	server.keepAliveTimeout = IDLE_TIMEOUT_MS;
	return server;
}
