import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {createCluster, type Cluster} from '../../cluster.js';
import type {Member} from '../../member.js';
import {readResidentBytes} from '../../process-usage.js';

// A body without end at the RPC address of a program: the program reads all of it and
// keeps it, until its memory ends and the requests of all callers with it.

const PART = Buffer.alloc(65_536, 0x20);
const SENT_BYTES = 300_000_000;
/** A program that keeps the body grows by all of it. */
const MAX_GROWN_BYTES = SENT_BYTES / 2;
const GIVE_UP_MS = 10_000;
const POLL_INTERVAL_MS = 10;

type Flood = Readonly<{
	/** First line of the answer; empty if none came. */
	status: string;
	sentBytes: number;
	grownBytes: number;
}>;

/** Sends a body as fast as it is read, until the connection ends. */
async function flood(
	{port, getProgram}: Member,
	procedure: string,
	framing: 'chunked' | 'with a length',
): Promise<Flood> {
	const {pid} = getProgram();
	const before = readResidentBytes(pid);
	const isChunked = framing === 'chunked';
	const part = isChunked
		? Buffer.concat([Buffer.from('10000\r\n'), PART, Buffer.from('\r\n')])
		: PART;
	const header = isChunked
		? 'Transfer-Encoding: chunked'
		: `Content-Length: ${SENT_BYTES * 2}`;
	let peak = before;
	let answer = '';
	const socket = connect(port, '127.0.0.1');
	const poll = setInterval(() => {
		peak = Math.max(peak, readResidentBytes(pid));
	}, POLL_INTERVAL_MS);
	const send = (): void => {
		let isWritable = true;
		while (isWritable && socket.writable) {
			isWritable = socket.bytesWritten < SENT_BYTES && socket.write(part);
		}
	};

	await new Promise<void>((resolve) => {
		const timer = setTimeout(resolve, GIVE_UP_MS);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			clearTimeout(timer);
			resolve();
		});
		socket.on('drain', () => {
			if (socket.bytesWritten >= SENT_BYTES) {
				resolve();
			} else {
				send();
			}
		});
		socket.on('data', (data) => {
			answer += data.toString('latin1');
		});
		socket.write(
			`POST /rpc/${procedure} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n${header}\r\n\r\n`,
		);
		send();
	});
	clearInterval(poll);
	const sentBytes = socket.bytesWritten - socket.writableLength;
	socket.destroy();
	peak = Math.max(peak, readResidentBytes(pid));
	return {
		status: answer.split('\r\n')[0]!,
		sentBytes,
		grownBytes: peak - before,
	};
}

describe('a body without end at /rpc', () => {
	let cluster: Cluster;

	beforeAll(async () => {
		cluster = await createCluster({
			example: 'verselight',
			entries: 1,
			controls: 1,
			backends: [],
		});
		await cluster.start();
	});

	afterAll(async () => {
		await cluster.remove();
	});

	it.each([
		['entry-1', 'relayAnnouncements', 'chunked'],
		['entry-1', 'relayAnnouncements', 'with a length'],
		['control-1', 'applyConfiguration', 'chunked'],
		['control-1', 'deliver', 'chunked'],
		['control-1', 'deliver', 'with a length'],
	] as const)('is refused by %s: %s, %s', async (name, procedure, framing) => {
		const outcome = await flood(cluster.findMember(name), procedure, framing);
		expect(outcome.status).toContain(' 413 ');
		expect(outcome.sentBytes).toBeLessThan(SENT_BYTES);
		expect(outcome.grownBytes).toBeLessThan(MAX_GROWN_BYTES);
	});

	it('leaves room for the largest message between control instances', async () => {
		// A configuration of 15 MB, as a text in JSON that takes twice its size.
		const messages = ['"'.repeat(15_000_000)];
		const {address} = cluster.findMember('control-1');
		const res = await fetch(`${address}/rpc/deliver`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({from: 'http://127.0.0.1:1', messages}),
		});
		expect(res.status).toBe(200);
		expect(await res.json()).toEqual({result: {data: {kind: 'taken'}}});
	});
});
