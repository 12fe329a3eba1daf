import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

/** Directions in which a relay silently drops bytes. */
export type BlackholedDirections = 'none' | 'to-target' | 'to-client' | 'both';

/** TCP relay that injects network faults: blackholed, reset or delayed connections. */
export type Relay = Readonly<{
	port: number;
	/** Drops the bytes of all open connections without closing them. */
	blackholeOpen: (directions: BlackholedDirections) => void;
	/** Drops the bytes of all future connections. */
	blackholeNew: (directions: BlackholedDirections) => void;
	/** Drops the bytes of open and future connections. */
	blackholeAll: (directions: BlackholedDirections) => void;
	/** Whether bytes of a connection from this client port were dropped. */
	hasDroppedBytes: (clientPort: number) => boolean;
	/** Closes all open connections, including blackholed ones. */
	closeConnections: () => void;
	/** Refuses new connections until they are accepted again. */
	refuseNew: (isRefused: boolean) => void;
	countConnections: () => number;
	/** Delays forwarded bytes and connection ends by this many milliseconds. */
	setDelay: (ms: number) => void;
	/** Returns the number of bytes forwarded to the target and to the client. */
	countBytes: () => Readonly<{toTarget: number; toClient: number}>;
	close: () => Promise<void>;
}>;

type RelayedConnection = {
	client: Socket;
	target: Socket;
	dropped: BlackholedDirections;
	onDropped: () => void;
};

type ByteCounter = {toTarget: number; toClient: number};

/** Listening address and target host; default to loopback and a free port. */
export type RelayOptions = Readonly<{
	host?: string;
	port?: number;
	targetHost?: string;
}>;

const LOOPBACK = '127.0.0.1';

function isBlackholed(
	connection: RelayedConnection,
	direction: 'to-target' | 'to-client',
): boolean {
	return connection.dropped === 'both' || connection.dropped === direction;
}

function forwardBytes(
	connection: RelayedConnection,
	direction: 'to-target' | 'to-client',
	counter: ByteCounter,
	getDelayMs: () => number,
): void {
	const toTarget = direction === 'to-target';
	const source = toTarget ? connection.client : connection.target;
	const destination = toTarget ? connection.target : connection.client;
	const pending: Array<() => void> = [];

	/** Runs at once, or after the delay in the order of the calls. */
	const enqueue = (run: () => void): void => {
		const delayMs = getDelayMs();
		if (delayMs === 0 && pending.length === 0) {
			run();
			return;
		}

		pending.push(run);
		setTimeout(() => {
			pending.shift()?.();
		}, delayMs);
	};

	source.on('data', (chunk: Uint8Array) => {
		if (isBlackholed(connection, direction)) {
			connection.onDropped();
			return;
		}

		counter[toTarget ? 'toTarget' : 'toClient'] += chunk.length;
		enqueue(() => {
			if (!destination.destroyed && !destination.write(chunk)) {
				source.pause();
				destination.once('drain', () => {
					source.resume();
				});
			}
		});
	});
	source.on('end', () => {
		if (!isBlackholed(connection, direction)) {
			enqueue(() => {
				destination.end();
			});
		}
	});
	source.on('error', () => {
		source.destroy();
	});
	source.on('close', () => {
		if (!isBlackholed(connection, direction)) {
			enqueue(() => {
				destination.destroy();
			});
		}
	});
}

/** Starts a relay to a port, on loopback by default. */
export async function startRelay(
	targetPort: number,
	options: RelayOptions = {},
): Promise<Relay> {
	const connections = new Set<RelayedConnection>();
	const portsWithDrops = new Set<number>();
	const counter: ByteCounter = {toTarget: 0, toClient: 0};
	let droppedOnNew: BlackholedDirections = 'none';
	let delayMs = 0;
	const getDelayMs = (): number => delayMs;

	const server = createServer(
		{noDelay: true, allowHalfOpen: true},
		(client) => {
			const target = connect({
				port: targetPort,
				host: options.targetHost ?? LOOPBACK,
				noDelay: true,
				allowHalfOpen: true,
			});
			const {remotePort = 0} = client;
			portsWithDrops.delete(remotePort);
			const connection: RelayedConnection = {
				client,
				target,
				dropped: droppedOnNew,
				onDropped() {
					portsWithDrops.add(remotePort);
				},
			};
			connections.add(connection);
			forwardBytes(connection, 'to-target', counter, getDelayMs);
			forwardBytes(connection, 'to-client', counter, getDelayMs);
			client.on('close', () => {
				if (target.destroyed) {
					connections.delete(connection);
				}
			});
			target.on('close', () => {
				if (client.destroyed) {
					connections.delete(connection);
				}
			});
		},
	);

	const blackholeOpen = (directions: BlackholedDirections): void => {
		connections.forEach((link) => {
			link.dropped = directions;
		});
	};

	const blackholeNew = (directions: BlackholedDirections): void => {
		droppedOnNew = directions;
	};

	await new Promise<void>((resolve) => {
		server.listen(options.port ?? 0, options.host ?? LOOPBACK, resolve);
	});

	const closeConnections = (): void => {
		connections.forEach(({client, target}) => {
			client.destroy();
			target.destroy();
		});
	};

	const {port} = server.address() as AddressInfo;
	const refuseNew = (isRefused: boolean): void => {
		if (isRefused) {
			server.close();
		} else if (!server.listening) {
			server.listen(port, options.host ?? LOOPBACK);
		}
	};

	return {
		port,
		refuseNew,
		blackholeOpen,
		blackholeNew,
		blackholeAll(directions) {
			blackholeOpen(directions);
			blackholeNew(directions);
		},
		hasDroppedBytes: (clientPort) => portsWithDrops.has(clientPort),
		closeConnections,
		setDelay(ms) {
			delayMs = ms;
		},
		countConnections: () => connections.size,
		countBytes: () => ({...counter}),
		async close() {
			closeConnections();
			await new Promise<void>((resolve) => {
				// A server that refuses connections is closed already.
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
