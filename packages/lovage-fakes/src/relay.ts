import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

/** Directions in which a relay can drop bytes. */
export type SilentDirections = 'none' | 'to-target' | 'to-client' | 'both';

/** A TCP relay on loopback that can lose track of its connections. */
export type Relay = Readonly<{
	port: number;
	/** Drops the bytes of every open connection without closing it. */
	silenceOpen: (directions: SilentDirections) => void;
	/** Drops the bytes of connections that open from now on. */
	silenceNew: (directions: SilentDirections) => void;
	/** Drops the bytes of both open and new connections. */
	silenceAll: (directions: SilentDirections) => void;
	/** Closes every open connection, silent or not. */
	closeOpen: () => void;
	countOpen: () => number;
	/** Holds bytes and new connections back for this long, in milliseconds. */
	delay: (ms: number) => void;
	/** Bytes passed on to the target and to the client. */
	countBytes: () => Readonly<{toTarget: number; toClient: number}>;
	close: () => Promise<void>;
}>;

type Link = {client: Socket; target: Socket; silent: SilentDirections};

type Counter = {toTarget: number; toClient: number};

/** Where a relay listens and leads to; loopback and a free port where absent. */
export type RelayPlaces = Readonly<{
	host?: string;
	port?: number;
	targetHost?: string;
}>;

const LOOPBACK = '127.0.0.1';

function isSilent(link: Link, direction: 'to-target' | 'to-client'): boolean {
	return link.silent === 'both' || link.silent === direction;
}

function forward(
	link: Link,
	direction: 'to-target' | 'to-client',
	counter: Counter,
	readDelay: () => number,
): void {
	const toTarget = direction === 'to-target';
	const from = toTarget ? link.client : link.target;
	const to = toTarget ? link.target : link.client;
	const held: Array<() => void> = [];

	/** Runs at once, or later in the order of the calls. */
	const pass = (run: () => void): void => {
		const delayMs = readDelay();
		if (delayMs === 0 && held.length === 0) {
			run();
			return;
		}

		held.push(run);
		setTimeout(() => {
			held.shift()?.();
		}, delayMs);
	};

	from.on('data', (chunk: Uint8Array) => {
		if (isSilent(link, direction)) {
			return;
		}

		counter[toTarget ? 'toTarget' : 'toClient'] += chunk.length;
		pass(() => {
			if (!to.destroyed && !to.write(chunk)) {
				from.pause();
				to.once('drain', () => {
					from.resume();
				});
			}
		});
	});
	from.on('end', () => {
		if (!isSilent(link, direction)) {
			pass(() => {
				to.end();
			});
		}
	});
	from.on('error', () => {
		from.destroy();
	});
	from.on('close', () => {
		if (!isSilent(link, direction)) {
			pass(() => {
				to.destroy();
			});
		}
	});
}

/** Starts a relay to a port on loopback. */
export async function startRelay(
	targetPort: number,
	places: RelayPlaces = {},
): Promise<Relay> {
	const links = new Set<Link>();
	const counter: Counter = {toTarget: 0, toClient: 0};
	let silentNew: SilentDirections = 'none';
	let delayMs = 0;
	const readDelay = (): number => delayMs;

	const server = createServer(
		{noDelay: true, allowHalfOpen: true},
		(client) => {
			const target = connect({
				port: targetPort,
				host: places.targetHost ?? LOOPBACK,
				noDelay: true,
				allowHalfOpen: true,
			});
			const link: Link = {client, target, silent: silentNew};
			links.add(link);
			forward(link, 'to-target', counter, readDelay);
			forward(link, 'to-client', counter, readDelay);
			client.on('close', () => {
				if (target.destroyed) {
					links.delete(link);
				}
			});
			target.on('close', () => {
				if (client.destroyed) {
					links.delete(link);
				}
			});
		},
	);

	const silenceOpen = (directions: SilentDirections): void => {
		links.forEach((link) => {
			link.silent = directions;
		});
	};

	const silenceNew = (directions: SilentDirections): void => {
		silentNew = directions;
	};

	await new Promise<void>((resolve) => {
		server.listen(places.port ?? 0, places.host ?? LOOPBACK, resolve);
	});

	const closeOpen = (): void => {
		links.forEach(({client, target}) => {
			client.destroy();
			target.destroy();
		});
	};

	return {
		port: (server.address() as AddressInfo).port,
		silenceOpen,
		silenceNew,
		silenceAll(directions) {
			silenceOpen(directions);
			silenceNew(directions);
		},
		closeOpen,
		delay(ms) {
			delayMs = ms;
		},
		countOpen: () => links.size,
		countBytes: () => ({...counter}),
		async close() {
			closeOpen();
			await new Promise<void>((resolve) => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
}
