import {once} from 'node:events';
import type {Server} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {afterEach} from 'vitest';

/**
 * Creates a function that connects to a server, which listens from then on; both end
 * after each test of the file.
 */
export function createConnector(): (server: Server) => Promise<Socket> {
	const servers = new Set<Server>();
	const sockets: Socket[] = [];
	afterEach(() => {
		sockets.splice(0).forEach((socket) => {
			socket.destroy();
		});
		servers.forEach((server) => {
			server.closeAllConnections();
			server.close();
		});
		servers.clear();
	});
	return async (server) => {
		servers.add(server);
		if (!server.listening) {
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
		}

		const {port} = server.address() as AddressInfo;
		const socket = connect(port, '127.0.0.1');
		socket.on('error', () => undefined);
		sockets.push(socket);
		await once(socket, 'connect');
		return socket;
	};
}
