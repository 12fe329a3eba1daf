import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {configuration, createCleanups, startHarness} from './harness.js';

const cleanups = createCleanups();
const MEGABYTE = 1_048_576;
const CALLS = 5;
const WRITING_MS = 200;
/** A caller gives up then. */
const LIMIT_MS = 5000;

/** Sends a body as a caller that reads only afterwards; returns the status, 0 without an answer. */
async function sendThenRead(port: number, body: string): Promise<number> {
	const socket = connect(port, '127.0.0.1');
	socket.pause();
	socket.on('error', () => undefined);
	socket.write(
		`POST /plain/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: r-1\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n`,
	);
	socket.write(body);
	await sleep(WRITING_MS);
	let answer = '';
	const closed = new Promise((resolve) => {
		socket.once('close', resolve);
	});
	socket.setEncoding('latin1').on('data', (text: string) => {
		answer += text;
	});
	socket.resume();
	await Promise.race([closed, sleep(LIMIT_MS)]);
	socket.destroy();
	return Number(/^HTTP\/1\.1 (\d+)/u.exec(answer)?.[1] ?? 0);
}

// A response that ends before its request closes a connection that isn't kept open,
// and bytes that were not read reset it.
describe('callers that close their connection read why a body is refused', () => {
	it.each([1, 4, 16])('%i MB', async (megabytes) => {
		const harness = await startHarness(configuration);
		cleanups.push(harness.close);
		const body = 'x'.repeat(megabytes * MEGABYTE);
		const statuses = await Promise.all(
			Array.from({length: CALLS}, async () => sendThenRead(harness.port, body)),
		);
		expect(statuses).toEqual(Array.from({length: CALLS}, () => 413));
	});
});
