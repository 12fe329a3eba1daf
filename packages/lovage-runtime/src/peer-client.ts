import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {BODY_ENCODING, decodeBody} from './body-encoding.js';

/** HTTP client for requests to other instances of the system. */
export type PeerClient = Readonly<{
	/**
	 * Sends a JSON request and resolves with the parsed response, or with the
	 * reason of the failure.
	 */
	call: <T>(
		address: string,
		path: string,
		body: unknown,
		timeoutMs: number,
	) => Promise<Result<T, string>>;
	close: () => void;
}>;

/**
 * Round trips between instances take milliseconds, but TCP retransmits a SYN to
 * an instance that is not up yet only after a second.
 */
const CONNECT_TIMEOUT_MS = 150;
const IDLE_TIMEOUT_MS = 10_000;
const STATUS_OK = 200;

/**
 * Creates a client with persistent connections. The connection of a request
 * that times out is closed, as the peer may never respond on it again.
 */
export function createPeerClient(
	agent = new Agent({keepAlive: true, timeout: IDLE_TIMEOUT_MS}),
): PeerClient {
	return {
		async call<T>(
			address: string,
			path: string,
			body: unknown,
			timeoutMs: number,
		) {
			const colon = address.lastIndexOf(':');
			const payload = Buffer.from(JSON.stringify(body));
			return new Promise<Result<T, string>>((resolve) => {
				const req = request({
					agent,
					host: address.slice(0, colon),
					port: Number(address.slice(colon + 1)),
					method: 'POST',
					path,
					headers: {
						'Content-Type': 'application/json',
						'Accept-Encoding': BODY_ENCODING,
						'Content-Length': payload.length,
					},
				});
				const fail = (reason: string): void => {
					clearTimeout(timer);
					clearTimeout(connectTimer);
					req.destroy();
					resolve(err(reason));
				};

				const timer = setTimeout(() => {
					fail('timeout');
				}, timeoutMs);
				const connectTimer = setTimeout(() => {
					fail('connect timeout');
				}, CONNECT_TIMEOUT_MS);
				req.on('socket', (socket) => {
					if (socket.connecting) {
						socket.once('connect', () => {
							clearTimeout(connectTimer);
						});
					} else {
						clearTimeout(connectTimer);
					}
				});
				req.on('error', (error: NodeJS.ErrnoException) => {
					fail(error.code ?? error.message);
				});
				req.on('response', (res) => {
					const chunks: Uint8Array[] = [];
					res.on('data', (chunk: Uint8Array) => chunks.push(chunk));
					res.on('error', (error) => {
						fail(error.message);
					});
					res.on('end', () => {
						clearTimeout(timer);
						if (res.statusCode !== STATUS_OK) {
							resolve(err(`status ${res.statusCode ?? 0}`));
							return;
						}

						try {
							const text = decodeBody(
								Buffer.concat(chunks),
								res.headers['content-encoding'],
							);
							resolve(ok(JSON.parse(text) as T));
						} catch (error) {
							resolve(err(String(error)));
						}
					});
				});
				req.end(payload);
			});
		},
		close() {
			agent.destroy();
		},
	};
}
