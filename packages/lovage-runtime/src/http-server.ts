import {once} from 'node:events';
import type {Server, ServerResponse} from 'node:http';
import {Server as TcpServer} from 'node:net';
import {createAdaptorServer} from '@hono/node-server';
import type {Hono} from 'hono';
import {err, ok, type Result} from 'neverthrow';
import {breakOffOnError} from './break-off.js';

/** A listening HTTP server. */
export type HttpServer = Readonly<{
	port: number;
	/**
	 * Stops accepting connections and resolves when all open responses are
	 * delivered.
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

/**
 * Stops accepting connections and waits for the open responses. The method of HTTP
 * servers would also destroy connections on which a slow caller has not received
 * all of its response.
 */
async function drainServer(
	server: Server,
	responses: ReadonlySet<ServerResponse>,
): Promise<void> {
	TcpServer.prototype.close.call(server);
	while (responses.size > 0) {
		// eslint-disable-next-line no-await-in-loop -- further requests can arrive on open connections
		await Promise.all(
			[...responses].map(
				async (res) =>
					new Promise((resolve) => {
						res.once('close', resolve);
					}),
			),
		);
	}

	server.closeIdleConnections();
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
	const responses = new Set<ServerResponse>();
	server.on('request', (_req, res: ServerResponse) => {
		responses.add(res);
		res.once('close', () => {
			responses.delete(res);
		});
	});
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
		drain: async () => drainServer(server, responses),
		async close() {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	});
}
