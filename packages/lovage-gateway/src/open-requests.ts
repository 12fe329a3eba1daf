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
	/**
	 * Keeps a request until its response was handed to the operating system; returns
	 * whether it can be answered: not if its connection ends with the one before.
	 */
	add: (res: ServerResponse) => boolean;
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
	/** The last request on each connection. */
	const latest = new Map<Socket, ServerResponse>();
	let isKeepAliveDisabled = false;

	/** Lets a response be the last one on its connection; false if one before it is. */
	const makeLast = (
		res: ServerResponse,
		before: ServerResponse | undefined,
	): boolean => {
		if (before !== undefined && open.has(before)) {
			if (before.headersSent && !before.shouldKeepAlive) {
				return false;
			}

			before.shouldKeepAlive = true;
		}

		res.shouldKeepAlive = false;
		return true;
	};

	return {
		addConnection(socket) {
			silent.add(socket);
			socket.once('close', () => {
				silent.delete(socket);
				latest.delete(socket);
				// A response that waits behind another one reports no end of its own.
				[...open.keys()]
					.filter(({req}) => req.socket === socket)
					.forEach((res) => {
						open.delete(res);
					});
			});
		},
		add(res) {
			const {socket} = res.req;
			silent.delete(socket);
			if (isKeepAliveDisabled && !makeLast(res, latest.get(socket))) {
				return false;
			}

			latest.set(socket, res);
			open.set(res, clock.now());
			res.once('close', () => {
				open.delete(res);
			});
			return true;
		},
		disableKeepAlive() {
			isKeepAliveDisabled = true;
			[...latest.values()]
				.filter((res) => open.has(res) && !res.headersSent)
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
