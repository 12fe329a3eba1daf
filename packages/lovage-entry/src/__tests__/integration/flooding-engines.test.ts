import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {exchangeCall} from '../../call-exchange.js';
import {probeAttempt} from '../../engine-exchange.js';
import {openEngineStream} from '../../engine-stream.js';

// An engine sends bytes without end that are no part of a generation: the entry reads
// them for as long as they come, in time that other callers need, or keeps them.

const cleanups: Array<() => unknown> = [];

afterEach(() => {
	cleanups.splice(0).forEach((cleanup) => cleanup());
});

/** An engine is left long before it has sent as much. */
const MAX_SENT_BYTES = 33_554_432;
const GIVE_UP_MS = 60_000;
const STREAM_GIVE_UP_MS = 10_000;

type Flood = Readonly<{
	address: string;
	/** Resolves when the connection is gone, with the bytes that were written. */
	left: Promise<number>;
}>;

/** Starts a server that answers with a beginning, and then with parts without end. */
async function flood(
	beginning: string,
	part: string | (() => string),
): Promise<Flood> {
	const bytes = typeof part === 'string' ? Buffer.from(part) : undefined;
	const readPart = (): Uint8Array | string => bytes ?? (part as () => string)();
	const send = (socket: Socket): void => {
		let isWritable = true;
		while (isWritable && socket.writable) {
			isWritable =
				socket.write(readPart()) && socket.bytesWritten < MAX_SENT_BYTES;
		}
	};

	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(beginning);
			send(socket);
		});
		socket.on('drain', () => {
			if (socket.bytesWritten < MAX_SENT_BYTES) {
				send(socket);
			}
		});
	});
	const left = new Promise<number>((resolve) => {
		server.on('connection', (socket) => {
			socket.on('close', () => {
				resolve(socket.bytesWritten);
			});
		});
	});
	cleanups.push(() => server.close());
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	return {address: `http://127.0.0.1:${port}`, left};
}

/** Reads a stream until it ends, with its total, or is lost; `tokens` are those that came. */
async function readStream(
	address: string,
	maxTokens: number,
): Promise<Readonly<{end: unknown; tokens: number}>> {
	let tokens = 0;
	const end = await new Promise((resolve) => {
		const timer = setTimeout(resolve, STREAM_GIVE_UP_MS, 'still read');
		const close = openEngineStream(
			{kind: 'resume', address, ...ATTEMPT, maxTokens},
			{
				onOpen: () => undefined,
				onChunk(chunk) {
					tokens += chunk.tokens.length;
				},
				onEnd({total}) {
					resolve(total);
				},
				onLost() {
					resolve('lost');
				},
				onRefused() {
					resolve('refused');
				},
			},
		);
		cleanups.push(close, () => {
			clearTimeout(timer);
		});
	});
	return {end, tokens};
}

const STREAM_HEAD =
	'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n';
const CHUNKED_HEAD =
	'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n';
const INTERIM = 'HTTP/1.1 100 Continue\r\n\r\n';
const ATTEMPT = {generation: 'g', attempt: 1, offset: 0} as const;
const CHUNK = {...ATTEMPT, tokens: ['a']};
const TOKENS = `event: tokens\ndata: ${JSON.stringify(CHUNK)}\n\n`;
const KILOBYTE = 1024;

describe('an engine that floods a stream', () => {
	it.each([
		['blank lines', STREAM_HEAD, '\n'.repeat(64 * KILOBYTE)],
		[
			'blank lines of two kinds',
			STREAM_HEAD,
			'\n'.repeat(64 * KILOBYTE) + '\r',
		],
		['comments', STREAM_HEAD, ':\n'.repeat(KILOBYTE)],
		['one event again and again', STREAM_HEAD, TOKENS.repeat(64)],
		['other events', STREAM_HEAD, 'event: x\ndata: y\n\n'.repeat(64)],
		['a line without an end', STREAM_HEAD, 'x'.repeat(64 * KILOBYTE)],
		['an event without an end', STREAM_HEAD, 'data: x\n'.repeat(KILOBYTE)],
		['chunks of one byte', CHUNKED_HEAD, '1\r\n:\r\n'.repeat(KILOBYTE)],
		['interim answers', INTERIM, INTERIM.repeat(KILOBYTE)],
	])('is left: %s', async (_, beginning, part) => {
		const {address, left} = await flood(beginning, part);
		const {end} = await readStream(address, 6000);
		expect(end).toBe('lost');
		expect(await left).toBeLessThan(MAX_SENT_BYTES);
	});

	it.each([
		['one token an event', ['a'], 1000, 1000],
		['empty tokens', Array.from({length: 1000}, () => ''), 32_768, 32_000],
		[
			'more empty tokens an event than any engine sends',
			Array.from({length: 40_000}, () => ''),
			1_000_000,
			0,
		],
	])(
		'is left with more tokens than were asked for: %s',
		async (_, tokens, maxTokens, taken) => {
			let offset = 0;
			const {address, left} = await flood(STREAM_HEAD, () => {
				const data = JSON.stringify({...ATTEMPT, offset, tokens});
				offset += tokens.length;
				return `event: tokens\ndata: ${data}\n\n`;
			});
			const {end, tokens: received} = await readStream(address, maxTokens);
			expect([end, received]).toEqual(['lost', taken]);
			expect(await left).toBeLessThan(MAX_SENT_BYTES);
		},
	);

	it('is read on with new tokens and comments between them', async () => {
		const events = Array.from({length: 6000}, (_, offset) => {
			const data = JSON.stringify({...CHUNK, offset});
			return `: wait\r\n\r\nevent: tokens\r\ndata: ${data}\r\n\r\n`;
		});
		const done = `event: done\ndata: {"generation":"g","attempt":1,"total":6000}\n\n`;
		const {address} = await flood(
			STREAM_HEAD + events.join('') + done,
			':\n'.repeat(KILOBYTE),
		);
		const {tokens, end} = await readStream(address, 6000);
		expect([tokens, end]).toEqual([6000, 6000]);
	});
});

describe('a backend server that floods a call', () => {
	const FORMS = [
		['chunks of one byte', CHUNKED_HEAD, '1\r\n \r\n'.repeat(KILOBYTE)],
		['bytes', STREAM_HEAD, ' '.repeat(64 * KILOBYTE)],
		['interim answers', INTERIM, INTERIM.repeat(KILOBYTE)],
	] as const;

	it.each(FORMS)('is left: %s', async (_, beginning, part) => {
		const {address, left} = await flood(beginning, part);
		const outcome = await exchangeCall({
			address,
			body: {requestId: 'r', customer: 'c', operation: 'grant', body: {}},
			timeoutMs: GIVE_UP_MS,
			mayWrite: () => true,
		});
		expect(outcome).toEqual({kind: 'lost'});
		expect(await left).toBeLessThan(MAX_SENT_BYTES);
	});

	it.each(FORMS.slice(0, 2))(
		'is left in a probe: %s',
		async (_, beginning, part) => {
			const {address, left} = await flood(beginning, part);
			const probe = await probeAttempt(
				{address, generation: 'g', attempt: 1},
				GIVE_UP_MS,
			);
			expect(probe.isErr()).toBe(true);
			expect(await left).toBeLessThan(MAX_SENT_BYTES);
		},
	);
});
