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
	/** Bytes passed on to the target and to the client. */
	countBytes: () => Readonly<{toTarget: number; toClient: number}>;
	close: () => Promise<void>;
}>;

type Link = {client: Socket; target: Socket; silent: SilentDirections};

type Counter = {toTarget: number; toClient: number};

function isSilent(link: Link, direction: 'to-target' | 'to-client'): boolean {
	return link.silent === 'both' || link.silent === direction;
}

function forward(
	link: Link,
	direction: 'to-target' | 'to-client',
	counter: Counter,
): void {
	const toTarget = direction === 'to-target';
	const from = toTarget ? link.client : link.target;
	const to = toTarget ? link.target : link.client;

	from.on('data', (chunk: Uint8Array) => {
		if (isSilent(link, direction)) {
			return;
		}

		counter[toTarget ? 'toTarget' : 'toClient'] += chunk.length;
		if (!to.write(chunk)) {
			from.pause();
			to.once('drain', () => {
				from.resume();
			});
		}
	});
	from.on('end', () => {
		if (!isSilent(link, direction)) {
			to.end();
		}
	});
	from.on('error', () => {
		from.destroy();
	});
	from.on('close', () => {
		if (!isSilent(link, direction)) {
			to.destroy();
		}
	});
}

/** Starts a relay to a port on loopback. */
export async function startRelay(targetPort: number): Promise<Relay> {
	const links = new Set<Link>();
	const counter: Counter = {toTarget: 0, toClient: 0};
	let silentNew: SilentDirections = 'none';

	const server = createServer(
		{noDelay: true, allowHalfOpen: true},
		(client) => {
			const target = connect({
				port: targetPort,
				host: '127.0.0.1',
				noDelay: true,
				allowHalfOpen: true,
			});
			const link: Link = {client, target, silent: silentNew};
			links.add(link);
			forward(link, 'to-target', counter);
			forward(link, 'to-client', counter);
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
		server.listen(0, '127.0.0.1', resolve);
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
