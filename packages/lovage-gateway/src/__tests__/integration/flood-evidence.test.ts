import {expect, it} from 'vitest';
import type {ExchangeOutcome} from '@lovagevalve/dispatch';
import {
	adaptConfiguration,
	call,
	createCleanups,
	startHarness,
	type Harness,
	startRawBackend,
} from './harness.js';
import {
	sendComments,
	startFloodingBackend,
	startSoundBackend,
} from './started-backends.js';

const cleanups = createCleanups();
const FLOODING_COUNT = 3;
const HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n';

const patient = {maxAttempts: FLOODING_COUNT + 1};
/** Moves a stream well before its caller gives up. */
const prompt = {...patient, latencyTargetMs: 400};

/** Records what becomes known of each backend server. */
function watchHealth({view}: Harness): (id: string) => ExchangeOutcome[] {
	const outcomes = new Map<string, ExchangeOutcome[]>();
	const {reportHealth} = view;
	Object.assign(view, {
		reportHealth(...[backend, outcome]: Parameters<typeof reportHealth>) {
			outcomes.set(backend.id, [...(outcomes.get(backend.id) ?? []), outcome]);
			reportHealth(backend, outcome);
		},
	});
	return (id) => outcomes.get(id) ?? [];
}

/** What is known of a server that sends without end; on a slow machine its stream is left for its silence. */
const FAILING: ReadonlySet<ExchangeOutcome> = new Set(['failed', 'flooded']);

const FORMS = [
	{
		path: '/plain/1',
		head: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
		text: '1\r\nx\r\n',
	},
	{
		path: '/stream/1',
		head: `${HEAD}Content-Type: text/event-stream\r\n\r\n`,
		text: ':\n\n',
	},
].flatMap((form) => [
	{...form, listeners: 'open', isClosed: false},
	{...form, listeners: 'closed', isClosed: true},
]);

// A probe finds a server whose listener is closed as dead as one that has crashed.
it.each(FORMS)(
	'a request that met three flooding backend servers is not reported as crashing them: $path, listeners $listeners',
	async ({path, head, text, isClosed}) => {
		const flooding = await Promise.all(
			Array.from({length: FLOODING_COUNT}, async () =>
				startFloodingBackend(cleanups, head, text, isClosed),
			),
		);
		const ports = flooding.map(({port}) => port);
		const harness = await startHarness(adaptConfiguration(patient));
		cleanups.push(harness.close);
		const readOutcomes = watchHealth(harness);
		harness.setBackends(ports);
		const answer = await call(harness.port, path);
		// A stream has its head by then.
		expect(answer.status === 200 && answer.isWhole).toBe(false);
		expect(harness.crashes).toEqual([]);
		const met = ports.map((_, i) => readOutcomes(`e-${i}`));
		expect(met.map(([first]) => FAILING.has(first!))).toEqual(
			Array.from({length: FLOODING_COUNT}, () => true),
		);
		// A stream that has its head asks again, and is refused by a closed listener.
		const isAllowed = (outcome: ExchangeOutcome): boolean =>
			FAILING.has(outcome) || (isClosed && outcome === 'unreachable');
		expect(met.flat().filter((outcome) => !isAllowed(outcome))).toEqual([]);
		const sound = await startSoundBackend(cleanups);
		harness.setBackends([...ports, sound]);
		const second = await call(harness.port, path);
		expect(second.isWhole).toBe(true);
		expect(second.status).toBe(200);
		expect(harness.crashes).toEqual([]);
	},
);

const COMMENT_INTERVAL_MS = 10;

// It runs the request, whatever becomes of new connections to it.
it('a backend server that goes on sending comments but accepts no connection is not reported as crashing', async () => {
	const {port, server} = await startRawBackend((socket) => {
		server.close();
		socket.write(`${HEAD}Content-Type: text/event-stream\r\n\r\n`);
		sendComments(socket, COMMENT_INTERVAL_MS);
	});
	cleanups.push(() => server.close());
	const harness = await startHarness(adaptConfiguration(prompt));
	cleanups.push(harness.close);
	const readOutcomes = watchHealth(harness);
	harness.setBackends([port]);
	const answer = call(harness.port, '/stream/1');
	await expect.poll(() => readOutcomes('e-0'), {timeout: 5000}).not.toEqual([]);
	expect(readOutcomes('e-0')[0]).toBe('failed');
	const sound = await startSoundBackend(cleanups);
	harness.setBackends([port, sound]);
	const {isWhole} = await answer;
	expect(isWhole).toBe(true);
	expect(harness.crashes).toEqual([]);
});
