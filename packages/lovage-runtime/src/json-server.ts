import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {encodeBody} from './body-encoding.js';
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
}>;

/** Handles one request. */
export type JsonHandler = (call: JsonRequest) => Promise<JsonResponse>;

const MAX_BODY_BYTES = 16_777_216;
const IDLE_TIMEOUT_MS = 15_000;
const INTERNAL_ERROR: JsonResponse = {
	status: 500,
	body: {error: 'internal error'},
};

/** Body of a request, or why there is none. */
type ReadBody =
	| Readonly<{kind: 'read'; text: string}>
	| Readonly<{kind: 'too-large' | 'unreadable' | 'closed'}>;

function decodeText(content: Uint8Array): ReadBody {
	try {
		// A replaced character would make another text of it.
		const decoder = new TextDecoder('utf8', {fatal: true, ignoreBOM: true});
		return {kind: 'read', text: decoder.decode(content)};
	} catch {
		return {kind: 'unreadable'};
	}
}

async function readBody(req: IncomingMessage): Promise<ReadBody> {
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
					? decodeText(Buffer.concat(chunks))
					: {kind: 'too-large'},
			);
		});
		req.on('close', () => {
			resolve({kind: 'closed'});
		});
	});
}

async function answer(
	req: IncomingMessage,
	handler: JsonHandler,
): Promise<JsonResponse | undefined> {
	const body = await readBody(req);
	switch (body.kind) {
		case 'closed': {
			return undefined;
		}

		case 'too-large': {
			return {status: 413, body: {error: 'the body is too large'}};
		}

		case 'unreadable': {
			return {status: 400, body: {error: 'the body is no UTF-8'}};
		}

		case 'read': {
			const target = parseRequestTarget(req.url ?? '/');
			return target.isErr()
				? {status: 400, body: {error: target.error}}
				: handler({
						method: req.method ?? 'GET',
						...target.value,
						text: body.text,
					});
		}
	}
}

function send(
	req: IncomingMessage,
	res: ServerResponse,
	{status, body, headers = {}}: JsonResponse,
): void {
	const payload = typeof body === 'string' ? body : JSON.stringify(body ?? {});
	const encoded = encodeBody(payload, req.headers['accept-encoding']);
	res.writeHead(status, {
		'Content-Type': 'application/json',
		...encoded.headers,
		...headers,
	});
	res.end(encoded.content);
}

/**
 * Creates an HTTP server for JSON requests. An error of one, in the handler or
 * around it, is answered with 500 and reported to `onError`.
 */
export function createJsonServer(
	handler: JsonHandler,
	onError: (error: unknown) => void,
): Server {
	const server = createServer(async (req, res) => {
		req.on('error', () => undefined);
		res.on('error', () => undefined);
		try {
			const response = await answer(req, handler);
			if (response !== undefined) {
				send(req, res, response);
			}
		} catch (error) {
			onError(error);
			if (res.headersSent) {
				res.destroy();
			} else {
				send(req, res, INTERNAL_ERROR);
			}
		}
	});
	server.keepAliveTimeout = IDLE_TIMEOUT_MS;
	return server;
}
