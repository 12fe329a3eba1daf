import {createServer, type AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {openEngineStream} from '../../engine-stream.js';

// An engine answers with something that is not a part of the generation: the entry takes
// it for tokens, or its end for the end of the generation.

const cleanups: Array<() => unknown> = [];

afterEach(() => {
	cleanups.splice(0).forEach((cleanup) => cleanup());
});

const HEAD =
	'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n';
const CHUNK = {generation: 'g', attempt: 1, offset: 0, tokens: ['a', 'b']};
const TOKENS = `event: tokens\ndata: ${JSON.stringify(CHUNK)}\n\n`;
const DONE = {generation: 'g', attempt: 1, total: 2};
const SECOND_HEAD = 'HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\nno';

/** Reads the answer of an engine that writes these bytes; resolves with the calls. */
async function read(bytes: string, end: 'end' | 'reset'): Promise<unknown[]> {
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(bytes);
			setTimeout(() => {
				if (end === 'end') {
					socket.end();
				} else {
					socket.resetAndDestroy();
				}
			}, 20);
		});
	});
	cleanups.push(() => server.close());
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const calls: unknown[] = [];
	await new Promise<void>((resolve) => {
		const close = openEngineStream(
			{
				kind: 'resume',
				address: `http://127.0.0.1:${port}`,
				generation: 'g',
				attempt: 1,
				offset: 0,
				maxTokens: 2,
			},
			{
				onOpen: () => undefined,
				onChunk(chunk) {
					calls.push(chunk);
				},
				onEnd(done) {
					calls.push(done);
					close();
					resolve();
				},
				onLost() {
					calls.push('lost');
					resolve();
				},
				onRefused() {
					calls.push('refused');
					resolve();
				},
			},
		);
	});
	return calls;
}

describe('an answer of an engine', () => {
	it('ends with the event that says so', async () => {
		const done = `event: done\ndata: ${JSON.stringify(DONE)}\n\n`;
		const calls = await read(HEAD + TOKENS + done + SECOND_HEAD, 'end');
		expect(calls).toEqual([CHUNK, DONE]);
	});

	it.each([
		['nothing', HEAD, 'end', []],
		['nothing until a reset', HEAD, 'reset', []],
		['comments', `${HEAD}: wait\n\n`, 'end', []],
		['an error page', `${HEAD}<p>error</p>\n\n<p>later</p>\n\n`, 'end', []],
		['tokens without an end', HEAD + TOKENS, 'end', [CHUNK]],
		['half an event', HEAD + TOKENS + TOKENS.slice(0, -9), 'end', [CHUNK]],
		['half an end', `${HEAD + TOKENS}event: done\ndata: {"gen`, 'end', [CHUNK]],
		['a second head', HEAD + TOKENS + SECOND_HEAD, 'end', [CHUNK]],
		[
			'a second head in an event',
			`${HEAD + TOKENS + TOKENS.trimEnd() + SECOND_HEAD}\n\n`,
			'end',
			[CHUNK],
		],
		['tokens of another form', `${HEAD}event: tokens\ndata: a\n\n`, 'end', []],
		[
			'an event without tokens',
			`${HEAD}data: internal error\n\n${TOKENS}`,
			'end',
			[CHUNK],
		],
	] as const)('is lost after %s', async (_, bytes, end, chunks) => {
		expect(await read(bytes, end)).toEqual([...chunks, 'lost']);
	});

	it.each([404, 500, 204])('with status %i is a refusal', async (status) => {
		const bytes = HEAD.replace('200 OK', `${status} Status`) + TOKENS;
		expect(await read(bytes, 'end')).toEqual(['refused']);
	});
});
