import {expect, it} from 'vitest';
import {OPEN_END} from './faulty-answers.js';
import {
	adaptConfiguration,
	createCleanups,
	formatEvent,
	sendRaw,
	startHarness,
	startRawBackend,
} from './harness.js';
import {readHeapBytes} from './heap-bytes.js';

// Events that the caller has are not delivered, so nobody sees whether they are kept.

const cleanups = createCleanups();
const STREAMS = 50;
const REPEATED = 1000;
/** One that is kept takes its id and a place in a table, 50 bytes and more. */
const MAX_BYTES_PER_EVENT = 20;
const PATIENT_MS = 60_000;
/** Less than the time that the test has. */
const WAIT_MS = 25_000;

const config = adaptConfiguration(
	{
		timeoutMs: PATIENT_MS,
		latencyTargetMs: PATIENT_MS,
		gapTargetMs: PATIENT_MS,
	},
	{canBackUp: false, canCopy: false},
);

/** Calls a stream and leaves it open; returns a function that waits for an event. */
function callOpen(port: number, id: string): (event: string) => Promise<void> {
	const {read} = sendRaw(
		cleanups,
		port,
		`POST /stream/1 HTTP/1.1\r\nHost: test\r\nRequest-Id: ${id}\r\nWait-Ms: ${PATIENT_MS}\r\nContent-Length: 0\r\n\r\n`,
	);
	return async (event) =>
		expect.poll(read, {timeout: WAIT_MS}).toContain(event);
}

it('events that streams repeat are not kept', async () => {
	const repeats: Array<() => void> = [];
	const ids = Array.from({length: REPEATED}, (_, id) =>
		String(id).padStart(20, '0'),
	);
	const repeated = ids.map((id) => `id: ${id}\ndata: x\n\n`).join('');
	const {port, server} = await startRawBackend((socket, request) => {
		const id = /request-id: (.*)\r\n/i.exec(request)?.[1] ?? '';
		socket.write(
			OPEN_END.replace('Request-Id: r-1', `Request-Id: ${id}`) +
				formatEvent(REPEATED),
		);
		repeats.push(() => {
			socket.write(repeated + formatEvent(REPEATED + 1));
		});
	});
	const harness = await startHarness(config);
	cleanups.push(harness.close, () => server.close());
	harness.setBackends([port]);
	const waits = Array.from({length: STREAMS}, (_, i) =>
		callOpen(harness.port, `r-${i}`),
	);
	await Promise.all(waits.map(async (wait) => wait(formatEvent(REPEATED))));
	const before = readHeapBytes();
	repeats.forEach((repeat) => {
		repeat();
	});
	await Promise.all(waits.map(async (wait) => wait(formatEvent(REPEATED + 1))));
	const perEvent = (readHeapBytes() - before) / (STREAMS * REPEATED);
	expect(repeats).toHaveLength(STREAMS);
	expect(perEvent).toBeLessThan(MAX_BYTES_PER_EVENT);
}, 30_000);
