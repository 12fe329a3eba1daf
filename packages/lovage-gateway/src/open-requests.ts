import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '@lovagevalve/runtime';
import {breakOff} from './responses.js';

/** A request whose caller may not have received everything, for the log. */
export type OpenRequest = Readonly<{
	request: string;
	path: string;
	/** Time since its headers arrived, in milliseconds. */
	ageMs: number;
	/** Whether the response has begun. */
	hasHead: boolean;
	/** Whether the response is complete and waits for a slow caller. */
	isEnded: boolean;
}>;

/** Connections of callers and the requests on them. */
export type OpenRequests = Readonly<{
	addConnection: (socket: Socket) => void;
	/** Keeps a request until its response was handed to the operating system. */
	add: (res: ServerResponse) => void;
	/**
	 * Waits for the request before it on the same connection; resolves with false if
	 * the connection ends with that one.
	 */
	awaitTurn: (res: ServerResponse) => Promise<boolean>;
	/** From now on, each connection is closed after its last request. */
	disableKeepAlive: () => void;
	/** Describes the open requests, the oldest first. */
	list: () => readonly OpenRequest[];
	/** Ends all open responses so that no caller takes one for complete. */
	breakOffAll: () => void;
	/**
	 * Resolves when all responses are delivered and no request can arrive on a
	 * connection that was accepted before the server closed, or the time limit has
	 * passed.
	 */
	awaitIdle: (limitMs: number) => Promise<void>;
}>;

const DRAIN_POLL_MS = 50;
/**
 * Time for the request of a connection that was accepted just before the server
 * closed: its packets may have to be sent again.
 */
const SILENT_CONNECTION_MS = 1000;

/** Creates the record of a server without connections. */
export function createOpenRequests(
	clock: Clock,
	readId: (req: IncomingMessage) => string,
): OpenRequests {
	/** Connections on which no request has arrived yet. */
	const silent = new Set<Socket>();
	/** Requests in the order of their arrival, each with its time in monotonic milliseconds. */
	const open = new Map<ServerResponse, number>();
	/** The request that precedes one on the same connection. */
	const previous = new WeakMap<ServerResponse, ServerResponse>();
	const latest = new WeakMap<Socket, ServerResponse>();
	let isKeepAliveDisabled = false;

	return {
		addConnection(socket) {
			silent.add(socket);
			socket.once('close', () => {
				silent.delete(socket);
			});
		},
		add(res) {
			const {socket} = res.req;
			const before = latest.get(socket);
			if (before !== undefined) {
				previous.set(res, before);
			}

			latest.set(socket, res);
			silent.delete(socket);
			open.set(res, clock.now());
			res.once('close', () => {
				open.delete(res);
			});
			if (isKeepAliveDisabled) {
				res.shouldKeepAlive = false;
			}
		},
		async awaitTurn(res) {
			const before = previous.get(res);
			previous.delete(res);
			if (before === undefined) {
				return true;
			}

			if (open.has(before)) {
				if (!before.headersSent) {
					before.shouldKeepAlive = true;
				}

				await new Promise((resolve) => {
					before.once('close', resolve);
				});
			}

			const isTurn = before.shouldKeepAlive && !res.req.socket.destroyed;
			if (!isTurn) {
				open.delete(res);
			}

			return isTurn;
		},
		disableKeepAlive() {
			isKeepAliveDisabled = true;
			[...open.keys()]
				.filter(({headersSent}) => !headersSent)
				.forEach((res) => {
					res.shouldKeepAlive = false;
				});
		},
		list: () =>
			[...open].map(([res, arrivedAt]) => ({
				request: readId(res.req),
				path: res.req.url ?? '',
				ageMs: Math.round(clock.now() - arrivedAt),
				hasHead: res.headersSent,
				isEnded: res.writableEnded,
			})),
		breakOffAll() {
			[...open.keys()].forEach((res) => {
				breakOff(res);
			});
		},
		async awaitIdle(limitMs) {
			const startedAt = clock.now();
			const deadlineAt = startedAt + limitMs;
			const isBusy = (): boolean => {
				const now = clock.now();
				const mayReceiveRequest =
					silent.size > 0 && now - startedAt < SILENT_CONNECTION_MS;
				return (open.size > 0 || mayReceiveRequest) && now < deadlineAt;
			};

			while (isBusy()) {
				// eslint-disable-next-line no-await-in-loop
				await new Promise((resolve) => {
					setTimeout(resolve, DRAIN_POLL_MS);
				});
			}
		},
	};
}
