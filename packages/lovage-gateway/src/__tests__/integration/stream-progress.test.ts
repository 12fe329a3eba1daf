import type {ServerResponse} from 'node:http';
import {expect, it} from 'vitest';
import {
	call,
	configuration,
	createCleanups,
	formatEvent,
	startBackend,
	startHarness,
	type Harness,
} from './harness.js';

const cleanups = createCleanups();

const config = {
	...configuration,
	routes: configuration.routes.map((route) => ({...route, timeoutMs: 8000})),
};

/** Starts an engine that calls `send` in an interval, with the number of the call. */
async function startTicking(
	intervalMs: number,
	send: (res: ServerResponse, event: number) => void,
) {
	const backend = await startBackend((req, res) => {
		let event = Number(req.headers['last-event-id'] ?? 0);
		res.writeHead(200, {'Request-Id': req.headers['request-id']});
		const timer = setInterval(() => {
			event += 1;
			send(res, event);
		}, intervalMs);
		res.on('close', () => {
			clearInterval(timer);
		});
	});
	cleanups.push(() => backend.server.close());
	return backend;
}

async function start(ports: readonly number[]): Promise<Harness> {
	const harness = await startHarness(config);
	harness.setBackends(ports);
	cleanups.push(harness.close);
	return harness;
}

const COMMENT = ': still here\n\n';
const EVENTS = [1, 2, 3, 4, 5, 6];
const WHOLE_BODY = EVENTS.map((id) => formatEvent(id)).join('');

function sendUntilEnd(res: ServerResponse, event: number): void {
	res.write(formatEvent(event));
	if (event === EVENTS.length) {
		res.end();
	}
}

it.each([
	['comments', COMMENT],
	['parts of an event', 'x'],
	['an event that was sent before', formatEvent(1)],
])(
	'moves a stream whose engine sends nothing but %s',
	async (_, bytes) => {
		const stalled = await startTicking(50, (res, event) => {
			res.write(event === 1 ? formatEvent(1) : bytes);
		});
		const sound = await startTicking(10, sendUntilEnd);
		const {port} = await start([stalled.port, sound.port]);
		const startedAt = performance.now();
		const response = await call(port, '/stream/1', {'Wait-Ms': '8000'});
		expect(response.isWhole).toBe(true);
		// Comments are passed on as they come.
		expect(response.body.replaceAll(COMMENT, '')).toBe(WHOLE_BODY);
		expect(performance.now() - startedAt).toBeLessThan(4000);
	},
	10_000,
);

// All engines are slower than the gap target. Each move costs an attempt; the run
// that is left when there are no more has to be kept.
it('does not cut a slow stream for which no attempt is left', async () => {
	const engines = await Promise.all(
		[1, 2, 3].map(async () => startTicking(550, sendUntilEnd)),
	);
	const {port} = await start(engines.map((engine) => engine.port));
	const response = await call(port, '/stream/1', {'Wait-Ms': '8000'});
	expect(response).toMatchObject({isWhole: true, body: WHOLE_BODY});
}, 10_000);
