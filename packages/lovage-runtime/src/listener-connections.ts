import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from './clock.js';
import {
	computeDescriptorLimit,
	type ConnectionUse,
	countSurplusIdle,
	decideConnection,
	hasTooManyUnanswered,
	type IdleConnection,
	isHeadLate,
	type ListenerName,
	noteInput,
} from './connection-budget.js';
import type {Logger} from './logs.js';
import type {PrometheusMetrics} from './prometheus-metrics.js';
import {stopParsing} from './stop-parsing.js';

/** Bounds the connections that the listeners of a process keep open. */
export type ListenerConnections = Readonly<{
	/** Bounds the connections that a server accepts from now on. */
	attach: (server: Server, listener: ListenerName) => void;
}>;

/** Dependencies of the bounds. */
export type ListenerConnectionsOptions = Readonly<{
	clock: Pick<Clock, 'now'>;
	log: Logger;
	metrics: PrometheusMetrics;
	/** Descriptors that the process may have. */
	maxDescriptors: number;
}>;

type CloseDecision = 'idle-closed' | 'rejected' | 'pipelined' | 'head-late';

const REASONS: Readonly<Record<CloseDecision, string>> = {
	'idle-closed': 'Closed a connection at the bound of descriptors.',
	rejected: 'Closed a connection at the bound of descriptors.',
	pipelined: 'Closed a connection with too many unanswered requests.',
	'head-late': 'Closed a connection whose request did not begin in time.',
};
/** Interval of the check for late heads: a twelfth of the time for them at callers. */
const CHECK_INTERVAL_MS = 250;

function whenClosed(socket: Socket, run: () => void): void {
	if (socket.closed) {
		run();
	} else {
		socket.once('close', run);
	}
}

/** Creates the bounds of a process. */
export function createListenerConnections({
	clock,
	log,
	metrics,
	maxDescriptors,
}: ListenerConnectionsOptions): ListenerConnections {
	let allOpen = 0;
	let peakOpen = 0;
	/** Requests without their response, behind the first one of each connection. */
	let allPipelined = 0;
	metrics.registerGauge('requests_pipelined', () => allPipelined);
	metrics.registerGauge('connections_open', () => allOpen);
	metrics.registerGauge('connections_open_peak', () => peakOpen);
	metrics.registerGauge('descriptors_limit', () => maxDescriptors);

	return {
		attach(server, listener) {
			const limit = computeDescriptorLimit(listener, maxDescriptors);
			/** Open connections with their number of requests under way. */
			const requests = new Map<Socket, number>();
			/** Idle connections, the longest idle one first. */
			const idleConnections = new Map<Socket, IdleConnection>();

			const readUse = (): ConnectionUse => ({
				listener,
				open: requests.size,
				idle: idleConnections.size,
				busy: requests.size - idleConnections.size,
			});

			const forget = (socket: Socket): void => {
				const pipelined = Math.max(0, (requests.get(socket) ?? 0) - 1);
				if (requests.delete(socket)) {
					idleConnections.delete(socket);
					allOpen -= 1;
					// Its requests stay in memory until then.
					whenClosed(socket, () => {
						allPipelined -= pipelined;
					});
				}
			};

			const close = (socket: Socket, decision: CloseDecision): void => {
				const {open, busy} = readUse();
				const now = clock.now();
				metrics.count('connections_closed', {listener, decision});
				log.warn(REASONS[decision], {
					listener,
					decision,
					remote: socket.remoteAddress ?? '',
					idleMs: Math.round(
						now - (idleConnections.get(socket)?.sinceMs ?? now),
					),
					open,
					busy,
					limit,
				});
				forget(socket);
				stopParsing(socket);
				socket.destroy();
			};

			const closeLongestIdle = (count: number): void => {
				for (let left = count; left > 0; left -= 1) {
					const [socket] = idleConnections.keys();
					close(socket!, 'idle-closed');
				}
			};

			const setIdle = (socket: Socket): void => {
				idleConnections.set(socket, {
					sinceMs: clock.now(),
					bytesBefore: socket.bytesRead,
				});
			};

			const begin = (socket: Socket): void => {
				const ofConnection = requests.get(socket)! + 1;
				requests.set(socket, ofConnection);
				idleConnections.delete(socket);
				allPipelined += ofConnection > 1 ? 1 : 0;
				if (hasTooManyUnanswered({ofConnection, allPipelined})) {
					close(socket, 'pipelined');
					return;
				}

				closeLongestIdle(countSurplusIdle(readUse(), limit));
			};

			const end = (socket: Socket): void => {
				const left = (requests.get(socket) ?? 0) - 1;
				if (left >= 0) {
					requests.set(socket, left);
					allPipelined -= left > 0 ? 1 : 0;
				}

				if (left === 0) {
					setIdle(socket);
				}
			};

			const closeLateHeads = (): void => {
				const now = clock.now();
				[...idleConnections].forEach(([socket, before]) => {
					const idle = noteInput(before, socket.bytesRead, now);
					idleConnections.set(socket, idle);
					if (isHeadLate(idle, server.headersTimeout, now)) {
						close(socket, 'head-late');
					}
				});
			};

			const timer = setInterval(() => {
				// What arrived while the process stood still is read first.
				setImmediate(closeLateHeads);
			}, CHECK_INTERVAL_MS);
			timer.unref();
			server.once('close', () => {
				clearInterval(timer);
			});

			server.on('connection', (socket: Socket) => {
				const use = readUse();
				const decision = decideConnection(
					// The new one counts as open only.
					{...use, open: use.open + 1},
					limit,
				);
				if (decision.kind === 'admit') {
					closeLongestIdle(decision.closedIdle);
				}

				requests.set(socket, 0);
				setIdle(socket);
				allOpen += 1;
				peakOpen = Math.max(peakOpen, allOpen);
				socket.once('close', () => {
					forget(socket);
				});
				if (decision.kind === 'reject') {
					close(socket, 'rejected');
				}
			});
			server.on('request', ({socket}, res: ServerResponse) => {
				if (requests.has(socket)) {
					begin(socket);
					res.once('close', () => {
						end(socket);
					});
				}
			});
		},
	};
}
