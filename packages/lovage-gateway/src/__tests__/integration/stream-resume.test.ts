import type {RetryBudgetPolicy} from '@lovagevalve/dispatch';
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
	routes: configuration.routes.map((route) => ({
		...route,
		maxAttempts: 5,
		timeoutMs: 9000,
	})),
};

/** Starts a backend server that sends the events after `Last-Event-Id` up to `last`. */
async function startEngine(last: number, end: 'whole' | 'reset') {
	const seen: Array<Record<string, unknown>> = [];
	const backend = await startBackend((req, res) => {
		seen.push(req.headers);
		const after = Number(req.headers['last-event-id'] ?? 0);
		res.writeHead(200, {'Request-Id': req.headers['request-id']});
		Array.from({length: Math.max(0, last - after)}, (_, i) =>
			res.write(formatEvent(after + i + 1)),
		);
		if (end === 'whole') {
			res.end();
		} else {
			setTimeout(() => req.socket.resetAndDestroy(), 30);
		}
	});
	cleanups.push(() => backend.server.close());
	return {...backend, seen};
}

async function start(
	ports: readonly number[],
	retryPolicy?: RetryBudgetPolicy,
): Promise<Harness> {
	const harness = await startHarness(config, retryPolicy);
	harness.setBackends(ports);
	cleanups.push(harness.close);
	return harness;
}

// When a data centre loses all its engines, there are more broken streams than
// retries left. One that waits keeps its copy; one that is given up is sent again
// by its caller, and its whole prompt is processed again.
it('a started stream waits for the retry budget instead of breaking off', async () => {
	const engines = [
		await startEngine(2, 'reset'),
		await startEngine(4, 'reset'),
		await startEngine(6, 'whole'),
	];
	const windowMs = 500;
	const {port} = await start(
		engines.map((engine) => engine.port),
		{windowMs, ratio: 0, extra: 4},
	);
	const startedAt = performance.now();
	const response = await call(port, '/stream/1');
	expect(response).toMatchObject({
		isWhole: true,
		body: [1, 2, 3, 4, 5, 6].map((id) => formatEvent(id)).join(''),
	});
	expect(performance.now() - startedAt).toBeGreaterThan(windowMs / 2);
	expect(engines.map(({seen}) => seen.length)).toEqual([1, 1, 1]);
	expect(engines[2]!.seen[0]).toMatchObject({copy: 'r-1'});
});

it('a stream without events is not held back by the retry budget', async () => {
	const engine = await startEngine(0, 'reset');
	const {port} = await start([engine.port], {
		windowMs: 5000,
		ratio: 0,
		extra: 0,
	});
	const startedAt = performance.now();
	expect(await call(port, '/stream/1')).toMatchObject({status: 502});
	expect(performance.now() - startedAt).toBeLessThan(1000);
});

it('a run that was never sent leaves no copy to resume from', async () => {
	const closed = await startEngine(0, 'whole');
	closed.server.close();
	const engines = [
		await startEngine(4, 'whole'),
		await startEngine(4, 'whole'),
	];
	const {port} = await start([
		closed.port,
		...engines.map((engine) => engine.port),
	]);
	const response = await call(port, '/stream/1', {'Last-Event-Id': '2'});
	expect(response).toMatchObject({isWhole: true});
	const [seen, ...others] = engines.flatMap((engine) => engine.seen);
	expect(others).toEqual([]);
	expect(seen).toMatchObject({'last-event-id': '2'});
	expect(seen).not.toHaveProperty('copy');
});

/** Starts an engine that sends an event each 100 ms and crashes after some time. */
async function startCrashing(afterMs: number) {
	const backend = await startBackend((req, res) => {
		let id = Number(req.headers['last-event-id'] ?? 0);
		res.writeHead(200, {'Request-Id': req.headers['request-id']});
		const timer = setInterval(() => {
			id += 1;
			res.write(formatEvent(id));
		}, 100);
		setTimeout(() => {
			clearInterval(timer);
			backend.server.close();
			backend.server.closeAllConnections();
		}, afterMs);
	});
	return backend;
}

it.each([
	['right after it started', 50, 1],
	['while it delivered events', 1400, 0],
])(
	'reports a crash of the backend server %s to the quarantine: %i ms, %i reports',
	async (_, afterMs, reports) => {
		const engines = [
			await startCrashing(afterMs),
			await startEngine(99, 'whole'),
		];
		const {port, crashes} = await start(engines.map((engine) => engine.port));
		expect(await call(port, '/stream/1', {'Wait-Ms': '5000'})).toMatchObject({
			isWhole: true,
		});
		expect(crashes).toHaveLength(reports);
	},
);

it('three data centres that crash in turn do not end a stream', async () => {
	const crashing = await Promise.all(
		[1200, 1200, 1200].map(async (afterMs) => startCrashing(afterMs)),
	);
	const last = await startEngine(99, 'whole');
	const engines = [...crashing, last];
	const {port} = await start(engines.map((engine) => engine.port));
	expect(await call(port, '/stream/1', {'Wait-Ms': '9000'})).toMatchObject({
		isWhole: true,
	});
});
