import {once} from 'node:events';
import type {Server, ServerResponse} from 'node:http';
import {createAdaptorServer} from '@hono/node-server';
import type {Hono} from 'hono';
import {err, ok, type Result} from 'neverthrow';
import {breakOffOnError} from './break-off.js';

/** A listening HTTP server. */
export type HttpServer = Readonly<{
	port: number;
	/**
	 * Stops accepting connections and resolves when all open requests have
	 * completed.
	 */
	drain: () => Promise<void>;
	/** Closes all connections immediately. */
	close: () => Promise<void>;
}>;

/** The server could not listen on its address. */
export type ListenError = Readonly<{kind: 'listen-failed'; message: string}>;

const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const HEADERS_TIMEOUT_MS = 10_000;
const MAX_HEADERS = 64;

async function stop(server: Server): Promise<void> {
	const closed = once(server, 'close');
	server.close();
	server.closeIdleConnections();
	await closed;
}

function isEventStream({headers}: Response): boolean {
	return headers.get('content-type') === 'text/event-stream';
}

/** Serves a Hono application over HTTP. Port 0 selects a free port. */
export async function serveHttp(
	app: Hono,
	host: string,
	port: number,
): Promise<Result<HttpServer, ListenError>> {
	const server = createAdaptorServer({
		async fetch(req, env) {
			const response = await app.fetch(req, env);
			return isEventStream(response)
				? breakOffOnError(response, env.outgoing as ServerResponse)
				: response;
		},
	}) as Server;
	server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
	server.headersTimeout = HEADERS_TIMEOUT_MS;
	server.maxHeadersCount = MAX_HEADERS;
	server.requestTimeout = 0;
	try {
		server.listen(port, host);
		await once(server, 'listening');
	} catch (error) {
		const message = error instanceof Error ? error.message : String(error);
		return err({kind: 'listen-failed', message});
	}

	const address = server.address();
	const boundPort =
		typeof address === 'object' && address ? address.port : port;
	return ok({
		port: boundPort,
		drain: async () => stop(server),
		async close() {
			const closed = stop(server);
			server.closeAllConnections();
			await closed;
		},
	});
}
