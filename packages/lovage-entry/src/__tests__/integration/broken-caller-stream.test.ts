import {connect, type Socket} from 'node:net';
import {serveHttp} from '@lovagevalve/runtime';
import {createProblem} from '@lovagevalve/wire';
import {Hono} from 'hono';
import {afterEach, expect, it} from 'vitest';
import {createCallerStream, type CallerStream} from '../../caller-stream.js';

// The entry disconnects a caller behind the head of its stream: the HTTP library writes
// the error's text into the stream and ends it as complete.

const cleanups: Array<() => unknown> = [];

afterEach(async () => {
	await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

const BYTES_PER_EVENT = 300_000;
const EVENT_COUNT = 20;
const SETTLE_MS = 200;

async function wait(ms: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}

type Opened = Readonly<{
	socket: Socket;
	stream: CallerStream;
	readText: () => string;
	/** Resolves with how the connection ended. */
	closed: Promise<'end' | 'reset'>;
	countDisconnects: () => number;
}>;

/** Opens a stream whose caller does not read until its socket is resumed. */
async function openStream(version: '1.0' | '1.1'): Promise<Opened> {
	let disconnects = 0;
	const stream = createCallerStream(() => {
		disconnects += 1;
	});
	const app = new Hono();
	app.post('/', async () => stream.response);
	const served = await serveHttp(app, '127.0.0.1', 0);
	const server = served._unsafeUnwrap();
	cleanups.push(server.close);
	const socket = connect({
		port: server.port,
		host: '127.0.0.1',
		allowHalfOpen: true,
	});
	cleanups.push(() => socket.destroy());
	let text = '';
	const closed = new Promise<'end' | 'reset'>((resolve) => {
		socket.on('error', () => {
			resolve('reset');
		});
		// Node.js reports a reset behind unread bytes as an orderly end; a write tells
		// them apart.
		socket.on('end', () => {
			socket.write('\r\n', (error) => {
				resolve(error instanceof Error ? 'reset' : 'end');
			});
		});
	});
	socket.setEncoding('latin1');
	socket.on('data', (chunk: string) => {
		text += chunk;
	});
	socket.pause();
	socket.write(
		`POST / HTTP/${version}\r\nHost: test\r\nContent-Length: 0\r\n\r\n`,
	);
	await wait(SETTLE_MS);
	return {
		socket,
		stream,
		readText: () => text,
		closed,
		countDisconnects: () => disconnects,
	};
}

function sendTokens(stream: CallerStream, offset: number): void {
	const tokens = ['x'.repeat(BYTES_PER_EVENT)];
	stream.sendTokens(`cursor-${offset}`, {offset, tokens});
}

it.each([
	['1.1', 'at once', 0],
	['1.0', 'at once', 0],
	['1.1', 'one by one', 1],
] as const)(
	'breaks off the stream of an HTTP/%s caller that falls behind events sent %s',
	async (version, _, pauseMs) => {
		const caller = await openStream(version);
		if (pauseMs === 0) {
			caller.socket.resume();
		}

		sendTokens(caller.stream, 0);
		await wait(SETTLE_MS);
		for (const i of Array.from({length: EVENT_COUNT}).keys()) {
			sendTokens(caller.stream, i + 1);
			if (pauseMs > 0) {
				// eslint-disable-next-line no-await-in-loop -- the socket fills up in between
				await wait(pauseMs);
			}
		}

		expect(caller.countDisconnects()).toBe(1);
		await wait(SETTLE_MS);
		caller.socket.resume();
		const end = await caller.closed;
		const text = caller.readText();
		expect(text).toContain('200 OK');
		expect(text).not.toContain('Error');
		expect(text.endsWith('0\r\n\r\n')).toBe(false);
		if (version === '1.0') {
			expect(end).toBe('reset');
		}
	},
);

it('ends a stream that was refused behind its head by a problem event', async () => {
	const {socket, stream, readText} = await openStream('1.1');
	sendTokens(stream, 0);
	socket.resume();
	await wait(SETTLE_MS);
	stream.refuse(createProblem('overloaded', 'Full.'));
	await wait(SETTLE_MS);
	const text = readText();
	expect(text).toContain('event: problem\n');
	expect(text).not.toContain('event: done\n');
	expect(text.endsWith('0\r\n\r\n')).toBe(true);
});
