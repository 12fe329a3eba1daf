import {setTimeout as sleep} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {
	adaptConfiguration,
	call,
	type CallerResponse,
	createCleanups,
	formatEvent,
	startHarness,
	startRawBackend,
} from './harness.js';
import {sendComments, startSoundBackend} from './started-backends.js';

const cleanups = createCleanups();
const HEAD =
	'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n';
const COMMENT_INTERVAL_MS = 20;
const PATIENCE_MS = 10_000;
const GAP_TARGET_MS = 1000;

const patient = adaptConfiguration(
	{
		timeoutMs: PATIENCE_MS,
		latencyTargetMs: 5000,
		gapTargetMs: GAP_TARGET_MS,
		maxAttempts: 5,
	},
	{canBackUp: false, canCopy: false},
);

type DarkServer = Readonly<{port: number; readDarkAt: () => number}>;

/** Starts a server that sends comments, then nothing, and accepts no connection from then on. */
async function startDark(
	begin: string,
	darkAfterMs: number,
	sendsComments: boolean,
): Promise<DarkServer> {
	let darkAt = 0;
	const {port, server} = await startRawBackend((socket) => {
		socket.write(HEAD + begin);
		const stop = sendsComments
			? sendComments(socket, COMMENT_INTERVAL_MS)
			: undefined;
		setTimeout(() => {
			stop?.();
			server.close();
			darkAt = performance.now();
		}, darkAfterMs);
	});
	cleanups.push(() => server.close());
	return {port, readDarkAt: () => darkAt};
}

type SoundServer = Readonly<{port: number; readAskedAt: () => number}>;

async function startSound(): Promise<SoundServer> {
	let askedAt = 0;
	const port = await startSoundBackend(cleanups, () => {
		askedAt ||= performance.now();
		return formatEvent(1) + formatEvent(2);
	});
	return {port, readAskedAt: () => askedAt};
}

async function callPatiently(port: number): Promise<CallerResponse> {
	return call(port, '/stream/1', {'Wait-Ms': String(PATIENCE_MS)});
}

describe('a stream goes on within its gap target after its server went dark', () => {
	it.each([
		['while it read the prompt', '', 2500, false],
		['while it read the prompt and sent comments', '', 2500, true],
		['behind an event', formatEvent(1), 1500, false],
		['behind an event and comments', formatEvent(1), 1500, true],
	])('%s', async (_, begin, darkAfterMs, sendsComments) => {
		const dark = await startDark(begin, darkAfterMs, sendsComments);
		const sound = await startSound();
		const harness = await startHarness(patient);
		cleanups.push(harness.close);
		harness.setBackends([dark.port]);
		const answer = callPatiently(harness.port);
		await sleep(200);
		harness.setBackends([dark.port, sound.port]);
		const {isWhole} = await answer;
		expect(isWhole).toBe(true);
		expect(sound.readAskedAt() - dark.readDarkAt()).toBeLessThan(GAP_TARGET_MS);
	});

	// The entry that runs a relayed stream answers probes until then.
	it.each([
		['soon after an event', 500, false],
		['soon after an event and comments', 500, true],
		['after it was probed', 1500, false],
		['after it was probed and sent comments', 1500, true],
	])('at another entry, %s', async (_, darkAfterMs, sendsComments) => {
		const dark = await startDark(formatEvent(1), darkAfterMs, sendsComments);
		const sound = await startSound();
		const peers = [dark.port, sound.port].map((port) => `127.0.0.1:${port}`);
		const harness = await startHarness(patient, undefined, peers);
		cleanups.push(harness.close);
		const {isWhole} = await callPatiently(harness.port);
		expect(isWhole).toBe(true);
		expect(sound.readAskedAt() - dark.readDarkAt()).toBeLessThan(GAP_TARGET_MS);
	});
});
