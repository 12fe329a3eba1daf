import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {encodeBody} from './body-encoding.js';

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
}>;

/** Handles one request. */
export type JsonHandler = (call: JsonRequest) => Promise<JsonResponse>;

const MAX_BODY_BYTES = 16_777_216;
const IDLE_TIMEOUT_MS = 15_000;
const PLACEHOLDER_BASE_URL = 'http://instance';

async function readText(req: IncomingMessage): Promise<string | undefined> {
	return new Promise((resolve) => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		req.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size <= MAX_BODY_BYTES) {
				chunks.push(chunk);
			}
		});
		req.on('end', () => {
			resolve(
				size <= MAX_BODY_BYTES
					? Buffer.concat(chunks).toString('utf8')
					: undefined,
			);
		});
		req.on('close', () => {
			resolve(undefined);
		});
	});
}

/**
 * Creates an HTTP server for JSON requests. If the handler throws, the server
 * responds with 500 and calls `onError`.
 */
export function createJsonServer(
	handler: JsonHandler,
	onError: (error: unknown) => void,
): Server {
	const server = createServer(async (req, res) => {
		req.on('error', () => undefined);
		res.on('error', () => undefined);
		const text = await readText(req);
		if (text === undefined) {
			if (!res.destroyed) {
				res.writeHead(413).end();
			}

			return;
		}

		const url = new URL(req.url ?? '/', PLACEHOLDER_BASE_URL);
		const call = {
			method: req.method ?? 'GET',
			path: url.pathname,
			query: url.searchParams,
			text,
		};
		let answer: JsonResponse;
		try {
			answer = await handler(call);
		} catch (error) {
			onError(error);
			answer = {status: 500, body: {error: 'internal error'}};
		}

		const {status, body, headers = {}} = answer;
		const payload =
			typeof body === 'string' ? body : JSON.stringify(body ?? {});
		const encoded = encodeBody(payload, req.headers['accept-encoding']);
		res.writeHead(status, {
			'Content-Type': 'application/json',
			...encoded.headers,
			...headers,
		});
		res.end(encoded.content);
	});
	server.keepAliveTimeout = IDLE_TIMEOUT_MS;
	return server;
}
