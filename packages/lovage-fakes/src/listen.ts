import process from 'node:process';
import {serve} from '@hono/node-server';
import type {Hono} from 'hono';

/** An HTTP server that accepts connections. */
export type ListeningServer = Readonly<{port: number; close: () => void}>;

/** Serves on loopback and prints the port as one JSON line once it listens. */
export async function listen(
	app: Hono,
	port: number,
): Promise<ListeningServer> {
	return new Promise((resolve) => {
		const server = serve(
			{fetch: app.fetch, port, hostname: '127.0.0.1'},
			(info) => {
				process.stdout.write(`${JSON.stringify({port: info.port})}\n`);
				resolve({
					port: info.port,
					close() {
						server.close();
					},
				});
			},
		);
	});
}
