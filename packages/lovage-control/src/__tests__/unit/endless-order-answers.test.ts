import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, expect, it} from 'vitest';
import {createOrderSender, type OrderOutcome} from '../../order-sender.js';

// What a backend server answers to an order is read whole, within the second of the order.

const BLOCK_BYTES = 65_536;
/** What lies in the buffers of sockets when the answer is left. */
const MAX_BYTES = 8_388_608;
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const cleanups: Array<() => unknown> = [];

afterEach(async () => {
	await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

type Answered = Readonly<{
	outcome: OrderOutcome;
	/** Bytes that the server could write. */
	sentBytes: number;
	isClosed: boolean;
}>;

/** Sends an order to a server that answers with a head, and then a text without end. */
async function sendOrder(head: string, text: string): Promise<Answered> {
	const block = Buffer.from(text.repeat(Math.ceil(BLOCK_BYTES / text.length)));
	let socket: Socket | undefined;
	const server = createServer((accepted) => {
		socket = accepted;
		accepted.on('error', () => undefined);
		const write = (): void => {
			if (!accepted.destroyed && accepted.write(block)) {
				setImmediate(write);
			}
		};

		accepted.once('data', () => {
			accepted.write(head);
			accepted.on('drain', write);
			write();
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const sender = createOrderSender({now: () => 0, wall: () => 0});
	cleanups.push(sender.close, () => server.close());
	const outcome = await sender.send({
		kind: 'send-order',
		address: `http://127.0.0.1:${port}`,
		order: 'o1',
		fencing: 5,
		sendBefore: 100,
		action: {kind: 'unload-model', model: 'lyric', version: '1'},
	});
	const sentBytes = socket?.bytesWritten ?? 0;
	await sleep(100);
	const isClosed = socket?.destroyed ?? false;
	socket?.destroy();
	return {outcome, sentBytes, isClosed};
}

it.each([
	{
		form: 'a body',
		head: `HTTP/1.1 200 OK\r\n${CHUNKED}`,
		text: `400\r\n${'x'.repeat(1024)}\r\n`,
		detail: /^the body exceeds 16384 bytes$/,
	},
	{
		form: 'small chunks',
		head: `HTTP/1.1 200 OK\r\n${CHUNKED}`,
		text: '1\r\nx\r\n',
		// Chunks that wait in the stream come as one.
		detail: /^the body (?:comes in too many small chunks|exceeds 16384 bytes)$/,
	},
	{
		form: 'a reason',
		head: `HTTP/1.1 409 No\r\n${CHUNKED}`,
		text: `400\r\n${'x'.repeat(1024)}\r\n`,
		detail: /^the body exceeds 16384 bytes$/,
	},
	{
		form: 'interim answers',
		head: '',
		text: 'HTTP/1.1 102 Processing\r\n\r\n',
		detail: /^the answer has too many interim answers$/,
	},
])(
	'an order whose answer is $form without end is left',
	async ({head, text, detail}) => {
		const answered = await sendOrder(head, text);
		expect(answered.outcome.outcome).toBe('failed');
		expect(answered.outcome.detail).toMatch(detail);
		expect(answered.sentBytes).toBeLessThan(MAX_BYTES);
		expect(answered.isClosed).toBe(true);
	},
);

it('an order that is refused with a page keeps its reason', async () => {
	const page = 'x'.repeat(10_000);
	const head = `HTTP/1.1 409 No\r\nContent-Length: ${page.length}\r\nConnection: close\r\n\r\n`;
	const {outcome} = await sendOrder(head + page, ' ');
	expect(outcome).toEqual({outcome: 'refused', detail: 'x'.repeat(200)});
});
