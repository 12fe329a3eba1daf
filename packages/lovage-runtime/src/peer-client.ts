import {Buffer} from 'node:buffer';
import {Agent, type ClientRequest, request} from 'node:http';
import {err, ok, Result} from 'neverthrow';
import {type HostPort, parseHostPort} from './address.js';
import {boundAnswerHead} from './answer-head-bounds.js';
import {BODY_ENCODING, decodeBody} from './body-encoding.js';
import type {BufferAccount, BufferBudget} from './buffer-budget.js';
import {createByteCollector} from './byte-collector.js';
import {startDeadline} from './deadline.js';
import {createChunkCount} from './fragmentation.js';
import {guardSocket} from './guard-socket.js';
import {parseJson, serializeJson} from './json.js';
import {MAX_MESSAGE_BYTES} from './json-bounds.js';

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
const UNREADABLE_REASONS = {
	'too-large': 'the response is too large',
	'no-room': 'too many bytes are buffered',
	fragmented: 'the response comes in too many small chunks',
} as const;

const openRequest = Result.fromThrowable(
	(
		agent: Agent,
		{host, port}: HostPort,
		path: string,
		payload: Uint8Array,
	): ClientRequest =>
		request({
			agent,
			host,
			port,
			method: 'POST',
			path,
			headers: {
				'Content-Type': 'application/json',
				'Accept-Encoding': BODY_ENCODING,
				'Content-Length': payload.length,
			},
		}),
	String,
);

const decodeText = Result.fromThrowable(decodeBody, String);

/** Sends a request and resolves with the text of the response. */
async function exchange(
	req: ClientRequest,
	payload: Uint8Array,
	account: BufferAccount,
	timeoutMs: number,
): Promise<Result<string, string>> {
	return new Promise((resolve) => {
		const fail = (reason: string): void => {
			cancelDeadline();
			cancelConnectDeadline();
			req.destroy();
			resolve(err(reason));
		};

		const cancelDeadline = startDeadline(timeoutMs, () => {
			fail('timeout');
		});
		const cancelConnectDeadline = startDeadline(CONNECT_TIMEOUT_MS, () => {
			fail('connect timeout');
		});
		req.on('socket', (socket) => {
			guardSocket(socket);
			if (socket.connecting) {
				socket.once('connect', cancelConnectDeadline);
			} else {
				cancelConnectDeadline();
			}
		});
		req.on('error', (error: NodeJS.ErrnoException) => {
			fail(error.code ?? error.message);
		});
		boundAnswerHead(req, fail);
		req.on('response', (res) => {
			const collector = createByteCollector({
				account,
				maxBytes: MAX_MESSAGE_BYTES,
			});
			const findFragmentation = createChunkCount();
			res.on('data', (chunk: Uint8Array) => {
				if (req.destroyed) {
					return;
				}

				const outcome =
					findFragmentation(chunk) === undefined
						? collector.push(chunk)
						: 'fragmented';
				if (outcome !== 'kept') {
					fail(UNREADABLE_REASONS[outcome]);
				}
			});
			res.on('error', (error) => {
				fail(error.message);
			});
			res.on('end', () => {
				cancelDeadline();
				resolve(
					res.statusCode === STATUS_OK
						? decodeText(collector.read(), res.headers['content-encoding'])
						: err(`status ${res.statusCode ?? 0}`),
				);
			});
		});
		req.end(payload);
	});
}

/**
 * Creates a client with persistent connections. The connection of a request
 * that times out is closed, as the peer may never respond on it again.
 */
export function createPeerClient(
	buffers: BufferBudget,
	agent = new Agent({keepAlive: true, timeout: IDLE_TIMEOUT_MS}),
): PeerClient {
	return {
		async call<T>(
			address: string,
			path: string,
			body: unknown,
			timeoutMs: number,
		) {
			const payload = serializeJson(body).map((text) => Buffer.from(text));
			const opened = parseHostPort(address).andThen((target) =>
				payload.andThen((content) =>
					openRequest(agent, target, path, content).map((req) => ({
						req,
						content,
					})),
				),
			);
			if (opened.isErr()) {
				return err(opened.error);
			}

			const {req, content} = opened.value;
			const account = buffers.open({source: 'instances', name: address});
			const text = await exchange(req, content, account, timeoutMs);
			const parsed = text.andThen(
				(found) => parseJson(found) as Result<T, string>,
			);
			account.release();
			return parsed;
		},
		close() {
			agent.destroy();
		},
	};
}
