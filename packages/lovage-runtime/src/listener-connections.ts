import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from './clock.js';
import {
	computeDescriptorLimit,
	type ConnectionUse,
	countSurplusIdle,
	decideConnection,
	hasTooManyUnanswered,
	type ListenerName,
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

type CloseDecision = 'idle-closed' | 'rejected' | 'pipelined';

const REASONS: Readonly<Record<CloseDecision, string>> = {
	'idle-closed': 'Closed a connection at the bound of descriptors.',
	rejected: 'Closed a connection at the bound of descriptors.',
	pipelined: 'Closed a connection with too many unanswered requests.',
};

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
			/** Idle connections with the time since when, the longest idle one first. */
			const idleSince = new Map<Socket, number>();

			const readUse = (): ConnectionUse => ({
				listener,
				open: requests.size,
				idle: idleSince.size,
				busy: requests.size - idleSince.size,
			});

			const forget = (socket: Socket): void => {
				const pipelined = Math.max(0, (requests.get(socket) ?? 0) - 1);
				if (requests.delete(socket)) {
					idleSince.delete(socket);
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
					idleMs: Math.round(now - (idleSince.get(socket) ?? now)),
					open,
					busy,
					limit,
				});
				forget(socket);
				socket.destroy();
			};

			const closeLongestIdle = (count: number): void => {
				for (let left = count; left > 0; left -= 1) {
					const [socket] = idleSince.keys();
					close(socket!, 'idle-closed');
				}
			};

			const begin = (socket: Socket): void => {
				const ofConnection = requests.get(socket)! + 1;
				requests.set(socket, ofConnection);
				idleSince.delete(socket);
				allPipelined += ofConnection > 1 ? 1 : 0;
				if (hasTooManyUnanswered({ofConnection, allPipelined})) {
					close(socket, 'pipelined');
					stopParsing(socket);
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
					idleSince.set(socket, clock.now());
				}
			};

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
				idleSince.set(socket, clock.now());
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
