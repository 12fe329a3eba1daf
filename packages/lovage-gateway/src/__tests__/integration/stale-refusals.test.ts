// Guards against refusals and second runs of requests that a backend server ran
// while it wrote a refusal of another request (REFUSED, TWICE).
import {createServer, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {
	call,
	type CallerResponse,
	configuration,
	createCleanups,
	formatEvent,
	listen,
	startHarness,
	type Harness,
} from './harness.js';

const cleanups = createCleanups();

/** A request of the callers that was sent on, as its backend server recorded it. */
type Run = Readonly<{server: string; id: string; path: string}>;

/** What a faulty backend server writes, by the number of its connection. */
type Script = Readonly<{
	/** Written as soon as the connection is open. */
	onConnect?: string;
	/** Whether it runs the request. */
	isRun: boolean;
	/** Written once the request has arrived. */
	onRequest: (id: string, path: string) => string;
	/** Written later, unless the connection is closed. */
	later?: (id: string) => string;
}>;

const LATER_MS = 60;
const REFUSING_STATUSES = [408, 421, 429, 503];

function formatHead(
	status: number,
	id: string | undefined,
	headers: readonly string[] = [],
): string {
	const named = id === undefined ? [] : [`Request-Id: ${id}`];
	return [`HTTP/1.1 ${status} Text`, ...named, ...headers, '', ''].join('\r\n');
}

/** A refusal that is marked as "not run". */
function formatRefusal(
	status: number,
	id: string | undefined,
	headers: readonly string[] = [],
): string {
	return formatHead(status, id, [
		'Not-Run: 1',
		'Content-Length: 0',
		...headers,
	]);
}

function formatAnswer(id: string, path: string): string {
	const body = path.startsWith('/stream') ? formatEvent(1) : `answer to ${id}`;
	return `${formatHead(200, id, ['Seal: s', `Content-Length: ${body.length}`])}${body}`;
}

const SOUND: Script = {isRun: true, onRequest: formatAnswer};

/** Runs the request and writes `text` in place of its answer. */
function answerWith(text: string): Script {
	return {isRun: true, onRequest: () => text};
}

const runs: Run[] = [];

/** Starts a backend server that follows its scripts, the last one for good. */
async function startServer(
	server: string,
	...scripts: readonly Script[]
): Promise<number> {
	let connections = 0;
	const sockets = new Set<Socket>();
	const tcpServer = createServer((socket) => {
		const script = scripts[Math.min(connections, scripts.length - 1)]!;
		connections += 1;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.write(script.onConnect ?? '');
		socket.once('data', (data) => {
			const text = Buffer.from(data).toString('latin1');
			const id = /request-id: (.*)\r\n/i.exec(text)?.[1] ?? '';
			const path = text.split(' ')[1]!;
			if (script.isRun) {
				runs.push({server, id, path});
			}

			socket.write(script.onRequest(id, path));
			const {later} = script;
			if (later !== undefined) {
				setTimeout(() => socket.write(later(id)), LATER_MS);
			}
		});
	});
	const port = await listen(tcpServer);
	cleanups.push(() => {
		sockets.forEach((socket) => {
			socket.destroy();
		});
		tcpServer.close();
	});
	return port;
}

async function start(...ports: readonly number[]): Promise<Harness> {
	runs.length = 0;
	const harness = await startHarness({
		...configuration,
		routes: configuration.routes.map((route) => ({...route, maxAttempts: 3})),
	});
	harness.setBackends(ports);
	cleanups.push(harness.close);
	return harness;
}

/** Fails if a request ran twice, or ran and was refused. */
function expectTruthful({status}: CallerResponse, id: string): void {
	const own = runs.filter((run) => run.id === id);
	expect(own.length).toBeLessThanOrEqual(1);
	if (own.length > 0) {
		expect(REFUSING_STATUSES).not.toContain(status);
	}
}

const ONCE = ['/once/1', '/stream-once/1'] as const;
const FOREIGN_IDS = ['r-0', undefined, ''] as const;
const ONCE_AND_FOREIGN = ONCE.flatMap((path) =>
	FOREIGN_IDS.map((id) => [path, id] as const),
);

describe('a refusal of another request, for one that may run once', () => {
	it.each(ONCE_AND_FOREIGN)(
		'is no promise in place of the answer: %s, names %j',
		async (path, named) => {
			const first = await startServer(
				'first',
				answerWith(formatRefusal(503, named)),
			);
			const second = await startServer('second', SOUND);
			const {port} = await start(first, second);
			const response = await call(port, path);
			expectTruthful(response, 'r-1');
			expect(response.status).toBe(502);
			expect(runs).toEqual([{server: 'first', id: 'r-1', path}]);
		},
	);

	it.each([400, 408, 421, 429, 503])(
		'is no promise with status %i, and is not passed on',
		async (status) => {
			const first = await startServer(
				'first',
				answerWith(formatRefusal(status, 'r-0')),
			);
			const {port} = await start(first, await startServer('second', SOUND));
			const response = await call(port, '/once/1');
			expectTruthful(response, 'r-1');
			expect(response.status).toBe(502);
		},
	);

	it.each(ONCE)(
		'is no promise before the answer, at once or later: %s',
		async (path) => {
			const stale = formatRefusal(503, 'r-0');
			const first = await startServer(
				'first',
				{
					isRun: true,
					onRequest: (id, at) => stale + formatAnswer(id, at),
				},
				{
					isRun: true,
					onRequest: () => stale,
					later: (id) => formatAnswer(id, path),
				},
			);
			const {port} = await start(first, await startServer('second', SOUND));
			for (const id of ['r-1', 'r-2']) {
				// eslint-disable-next-line no-await-in-loop -- one script after the other
				const response = await call(port, path, {'Request-Id': id});
				expectTruthful(response, id);
				expect(response.status).toBe(502);
			}

			await sleep(2 * LATER_MS);
			expect(runs.map(({server, id}) => `${server} ${id}`)).toEqual([
				'first r-1',
				'first r-2',
			]);
		},
	);

	it.each(ONCE)(
		'is no promise on a connection that was just opened: %s',
		async (path) => {
			const first = await startServer('first', {
				...SOUND,
				onConnect: formatRefusal(503, 'r-0'),
			});
			const {port} = await start(first, await startServer('second', SOUND));
			const response = await call(port, path);
			expectTruthful(response, 'r-1');
			expect(response.status).toBe(502);
			await sleep(LATER_MS);
			expectTruthful(response, 'r-1');
		},
	);

	it.each(ONCE)(
		'does not reach the next request behind the answer: %s',
		async (path) => {
			const first = await startServer(
				'first',
				{
					isRun: true,
					onRequest: (id, at) => formatAnswer(id, at) + formatRefusal(503, id),
				},
				{...SOUND, later: (id) => formatRefusal(503, id)},
			);
			const {port} = await start(first);
			for (const id of ['r-1', 'r-2', 'r-3']) {
				// eslint-disable-next-line no-await-in-loop -- one after the other
				const response = await call(port, path, {'Request-Id': id});
				expect(response.status).toBe(200);
				expectTruthful(response, id);
				// eslint-disable-next-line no-await-in-loop -- what follows is written
				await sleep(LATER_MS);
			}

			expect(runs).toHaveLength(3);
		},
	);

	it.each(ONCE)(
		'is believed once when it is the own one and comes twice: %s',
		async (path) => {
			const refusal = formatRefusal(503, 'r-1');
			const first = await startServer('first', {
				isRun: false,
				onRequest: () => refusal + refusal,
				later: () => refusal,
			});
			const {port} = await start(first, await startServer('second', SOUND));
			const response = await call(port, path);
			await sleep(2 * LATER_MS);
			expect(response.status).toBe(200);
			expect(runs).toEqual([{server: 'second', id: 'r-1', path}]);
		},
	);

	it('closes its connection', async () => {
		let isClosed = false;
		const tcpServer = createServer((socket) => {
			socket.on('error', () => undefined);
			socket.once('data', () => socket.write(formatRefusal(503, 'r-0')));
			socket.once('close', () => {
				isClosed = true;
			});
		});
		const server = await listen(tcpServer);
		cleanups.push(() => tcpServer.close());
		const {port} = await start(server);
		await call(port, '/once/1');
		await expect.poll(() => isClosed).toBe(true);
	});
});

describe('a refusal of another request, for one that may run again', () => {
	it.each(['/plain/1', '/stream/1'])(
		'sends it to another backend server: %s',
		async (path) => {
			const first = await startServer(
				'first',
				answerWith(formatRefusal(503, 'r-0')),
			);
			const {port} = await start(first, await startServer('second', SOUND));
			expect(await call(port, path)).toMatchObject({status: 200});
			expect(runs.map(({server}) => server)).toEqual(['first', 'second']);
		},
	);

	it.each(['/plain/1', '/stream/1'])(
		'ends it without a promise when no other one is left: %s',
		async (path) => {
			const first = await startServer(
				'first',
				answerWith(formatRefusal(503, 'r-0')),
			);
			const {port} = await start(first);
			expect(await call(port, path)).toMatchObject({status: 502});
		},
	);
});

describe('the notices of a refusal', () => {
	it.each(['Leaving: 1', 'Pushback: 60000'])(
		'do not count if it is of another request: %s',
		async (notice) => {
			const only = await startServer(
				'only',
				answerWith(formatRefusal(503, 'r-0', [notice])),
				SOUND,
			);
			const {port} = await start(only);
			expect(await call(port, '/once/1')).toMatchObject({status: 502});
			const next = await call(port, '/once/2', {'Request-Id': 'r-2'});
			expect(next).toMatchObject({status: 200});
		},
	);
});

describe('a status that promises "not run" without the mark', () => {
	const cases = ONCE.flatMap((path) =>
		REFUSING_STATUSES.map((status) => [path, status] as const),
	);

	it.each(cases)(
		'is not passed on for a request that may run once: %s, %i',
		async (path, status) => {
			const headers = ['Seal: s', 'Retry-After: 1', 'Content-Length: 4'];
			const first = await startServer(
				'first',
				answerWith(`${formatHead(status, 'r-1', headers)}busy`),
			);
			const {port} = await start(first, await startServer('second', SOUND));
			const response = await call(port, path);
			expectTruthful(response, 'r-1');
			expect(response.status).toBe(502);
			expect(response.headers.seal).toBeUndefined();
			expect(response.headers['retry-after']).toBeUndefined();
			expect(runs).toHaveLength(1);
		},
	);

	it('is not passed on with a large body either', async () => {
		const body = 'x'.repeat(400_000);
		const head = formatHead(503, 'r-1', [`Content-Length: ${body.length}`]);
		const {port} = await start(
			await startServer('first', answerWith(head + body)),
		);
		expect(await call(port, '/once/1')).toMatchObject({status: 502});
	});

	it('leaves other failures of the backend server as they are', async () => {
		const head = formatHead(400, 'r-1', ['Seal: s', 'Content-Length: 3']);
		const {port} = await start(
			await startServer('first', answerWith(`${head}bad`)),
		);
		const response = await call(port, '/once/1');
		expect(response).toMatchObject({status: 400, body: 'bad'});
		expect(response.headers.seal).toBe('s');
	});

	it('is passed on for a request that may run again', async () => {
		const head = formatHead(429, 'r-1', [
			'Retry-After: 1',
			'Content-Length: 0',
		]);
		const {port} = await start(await startServer('first', answerWith(head)));
		expect(await call(port, '/plain/1')).toMatchObject({status: 429});
	});
});

describe('an answer of another entry', () => {
	async function startRelaying(...peers: readonly number[]): Promise<Harness> {
		runs.length = 0;
		const harness = await startHarness(
			configuration,
			undefined,
			peers.map((peer) => `127.0.0.1:${peer}`),
		);
		cleanups.push(harness.close);
		return harness;
	}

	const CUT_OFF = formatHead(503, undefined, [
		'Lovage-Cut-Off: 1',
		'Content-Length: 0',
	]);

	it.each(ONCE)('that refuses is passed on: %s', async (path) => {
		const refusal = formatHead(503, undefined, [
			'Retry-After: 1',
			'Content-Length: 0',
		]);
		const peer = await startServer('peer', {
			isRun: false,
			onRequest: () => refusal,
		});
		const {port} = await startRelaying(peer);
		expect(await call(port, path)).toMatchObject({status: 503});
	});

	it.each(ONCE)(
		'that is cut off too sends it to the next: %s',
		async (path) => {
			const peer = await startServer('peer', {
				isRun: false,
				onRequest: () => CUT_OFF,
			});
			const {port} = await startRelaying(
				peer,
				await startServer('next', SOUND),
			);
			expect(await call(port, path)).toMatchObject({status: 200});
			expect(runs).toHaveLength(1);
		},
	);

	it.each(ONCE)(
		'that passes on a refusal of its backend server is no promise: %s',
		async (path) => {
			const refusal = formatHead(503, 'r-1', ['Content-Length: 0']);
			const peer = await startServer('peer', answerWith(refusal));
			const {port} = await startRelaying(
				peer,
				await startServer('next', SOUND),
			);
			const response = await call(port, path);
			expectTruthful(response, 'r-1');
			expect(response.status).toBe(502);
		},
	);

	it.each(ONCE)('that names another request is lost: %s', async (path) => {
		const peer = await startServer(
			'peer',
			answerWith(
				formatHead(503, 'r-0', ['Lovage-Cut-Off: 1', 'Content-Length: 0']),
			),
		);
		const {port} = await startRelaying(peer, await startServer('next', SOUND));
		const response = await call(port, path);
		expectTruthful(response, 'r-1');
		expect(response.status).toBe(502);
	});
});
