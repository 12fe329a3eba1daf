import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {startBackend, startRawBackend} from './harness.js';

type Cleanups = Array<() => unknown>;

const BLOCK_BYTES = 65_536;

/** Creates the whole body of an answer. */
export type CreateBody = (req: IncomingMessage) => string | Promise<string>;

const isStream = ({url}: IncomingMessage): boolean =>
	url?.startsWith('/stream') ?? false;

/** The next event of a stream, or a text. */
function createSoundBody(req: IncomingMessage): string {
	const next = Number(req.headers['last-event-id'] ?? 0) + 1;
	return isStream(req) ? `id: ${next}\ndata: a\n\n` : 'sound';
}

/** Starts a backend server whose answers are whole; returns its port. */
export async function startSoundBackend(
	cleanups: Cleanups,
	createBody: CreateBody = createSoundBody,
): Promise<number> {
	const {port, server} = await startBackend(async (req, res) => {
		req.resume();
		const body = await createBody(req);
		res.writeHead(200, {
			'Request-Id': String(req.headers['request-id'] ?? ''),
			...(isStream(req) ? {'Content-Type': 'text/event-stream'} : {}),
		});
		res.end(body);
	});
	cleanups.push(() => server.close());
	return port;
}

/** A backend server that answers without end. */
export type FloodingBackend = Readonly<{
	port: number;
	/** Its connections, in order. */
	sockets: readonly Socket[];
}>;

/**
 * Starts one that sends a head, then a text again and again, as fast as it is read; one
 * that is closed accepts no connection beside.
 */
export async function startFloodingBackend(
	cleanups: Cleanups,
	head: string,
	text: string,
	isClosed = false,
): Promise<FloodingBackend> {
	const block = text.repeat(Math.ceil(BLOCK_BYTES / text.length));
	const sockets: Socket[] = [];
	const {port, server} = await startRawBackend((socket) => {
		sockets.push(socket);
		if (isClosed) {
			server.close();
		}

		const write = (): void => {
			if (!socket.destroyed && socket.write(block)) {
				setImmediate(write);
			}
		};

		socket.on('drain', write);
		socket.write(head);
		write();
	});
	cleanups.push(() => server.close());
	return {port, sockets};
}

/** Sends comments until the connection ends, or the returned function is called. */
export function sendComments(socket: Socket, intervalMs: number): () => void {
	const timer = setInterval(() => {
		socket.write(':\n\n');
	}, intervalMs);
	const stop = (): void => {
		clearInterval(timer);
	};

	socket.on('close', stop);
	return stop;
}
