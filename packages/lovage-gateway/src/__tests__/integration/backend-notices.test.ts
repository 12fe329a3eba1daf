import {describe, expect, it} from 'vitest';
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

type Answer = Readonly<{
	status: number;
	headers?: Record<string, string>;
	/** Resets the connection after two events. */
	isCut?: boolean;
}>;

const HEALTHY: Answer = {status: 200};
const PUSHBACK_MS = 400;

/** Starts a backend server whose answers can be changed, and counts what reaches it. */
async function startScripted(initial: Answer) {
	const paths: string[] = [];
	const script = {answer: initial};
	const backend = await startBackend((req, res) => {
		paths.push(req.url ?? '');
		const {status, headers, isCut} = script.answer;
		res.writeHead(status, {
			'Request-Id': req.headers['request-id'],
			...headers,
		});
		if (req.url?.startsWith('/stream')) {
			[1, 2].forEach((id) => res.write(formatEvent(id)));
		}

		if (isCut) {
			setTimeout(() => req.socket.resetAndDestroy(), 30);
		} else {
			res.end(req.url?.startsWith('/stream') ? formatEvent(3) : 'done');
		}
	});
	cleanups.push(() => backend.server.close());
	return {...backend, paths, script};
}

async function start(...ports: readonly number[]): Promise<Harness> {
	const harness = await startHarness({
		...configuration,
		routes: configuration.routes.map((route) => ({...route, maxAttempts: 3})),
	});
	harness.setBackends(ports);
	cleanups.push(harness.close);
	return harness;
}

const LEAVING: Answer = {status: 200, headers: {Leaving: '1'}};
const BUSY: Answer = {
	status: 503,
	headers: {'Not-Run': '1', Pushback: String(PUSHBACK_MS)},
};

describe('a backend server that says it is leaving', () => {
	it.each(['/plain/1', '/once/1', '/stream/1'])(
		'receives no further request after an answer on %s',
		async (path) => {
			const first = await startScripted(LEAVING);
			const second = await startScripted(HEALTHY);
			const {port} = await start(first.port, second.port);
			expect(await call(port, path)).toMatchObject({status: 200});
			await call(port, '/plain/2');
			await call(port, '/once/2');
			await call(port, '/stream/2');
			expect(first.paths).toEqual([path]);
			expect(second.paths).toHaveLength(3);
		},
	);

	it('receives no request even if it is the only one', async () => {
		const only = await startScripted(LEAVING);
		const {port} = await start(only.port);
		await call(port, '/plain/1');
		expect(await call(port, '/plain/2')).toMatchObject({status: 503});
		expect(only.paths).toEqual(['/plain/1']);
	});

	it('says so in an error as well', async () => {
		const first = await startScripted({...LEAVING, status: 500});
		const second = await startScripted(HEALTHY);
		const {port} = await start(first.port, second.port);
		await call(port, '/once/1');
		await call(port, '/once/2');
		expect(first.paths).toEqual(['/once/1']);
	});
});

describe('a backend server that asks for a pause', () => {
	it('receives nothing until the pause is over', async () => {
		const first = await startScripted(BUSY);
		const second = await startScripted(HEALTHY);
		const {port} = await start(first.port, second.port);
		const startedAt = performance.now();
		expect(await call(port, '/plain/1')).toMatchObject({status: 200});
		await call(port, '/once/2');
		await call(port, '/stream/3');
		expect(performance.now() - startedAt).toBeLessThan(PUSHBACK_MS);
		expect(first.paths).toEqual(['/plain/1']);
		first.script.answer = HEALTHY;
		await new Promise((resolve) => {
			setTimeout(resolve, PUSHBACK_MS);
		});
		expect(await call(port, '/plain/4')).toMatchObject({status: 200});
		expect(first.paths).toEqual(['/plain/1', '/plain/4']);
	});

	it('passes the pause on to the caller when no other one is left', async () => {
		const only = await startScripted({
			...BUSY,
			headers: {...BUSY.headers, Pushback: '3000'},
		});
		const {port} = await start(only.port);
		await call(port, '/plain/1');
		const refused = await call(port, '/plain/2');
		expect(refused.status).toBe(503);
		expect(Number(refused.headers['retry-after'])).toBeGreaterThan(2);
		expect(Number(refused.headers['retry-after'])).toBeLessThanOrEqual(3);
		expect(only.paths).toEqual(['/plain/1']);
	});

	it('is not asked again for a stream when it lacks the copy', async () => {
		const first = await startScripted({status: 200, isCut: true});
		const second = await startScripted(BUSY);
		const third = await startScripted(HEALTHY);
		const {port} = await start(first.port, second.port, third.port);
		const response = await call(port, '/stream/1');
		expect(response.isWhole).toBe(true);
		expect(second.paths).toEqual(['/stream/1']);
	});

	it('is not chosen to resume a stream from the copy that it holds', async () => {
		const first = await startScripted({status: 200, isCut: true});
		const second = await startScripted(BUSY);
		const third = await startScripted(HEALTHY);
		const {port, setBackends} = await start(second.port);
		await call(port, '/plain/1');
		// Only the first one is free to start the stream.
		setBackends([second.port, first.port, third.port]);
		const response = await call(port, '/stream/1');
		expect(response.isWhole).toBe(true);
		expect(second.paths).toEqual(['/plain/1']);
	});
});
