import {createServer} from 'node:net';
import process from 'node:process';

/** Below the ports that systems give to outgoing connections. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;
const PID_STRIDE = 97;

let nextIndex = (process.pid * PID_STRIDE) % PORT_COUNT;

async function isFree(port: number): Promise<boolean> {
	return new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Picks a port that a program can bind again after a restart. */
export async function pickPort(): Promise<number> {
	const port = FIRST_PORT + nextIndex;
	nextIndex = (nextIndex + 1) % PORT_COUNT;
	return (await isFree(port)) ? port : pickPort();
}

/** Picks several different ports. */
export async function pickPorts(count: number): Promise<readonly number[]> {
	return Promise.all(Array.from({length: count}, async () => pickPort()));
}
