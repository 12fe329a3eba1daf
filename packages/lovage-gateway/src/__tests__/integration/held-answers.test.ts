// Guards against streams that pause, or that end, while a backend server is slow to
// say which incarnation it is, and against events of one that has started again.
import {setTimeout as sleep} from 'node:timers/promises';
import type {IncarnationProof} from '@lovagevalve/dispatch';
import {expect, it} from 'vitest';
import {
	call,
	configuration,
	createCleanups,
	formatEvent,
	startBackend,
	startHarness,
} from './harness.js';

const cleanups = createCleanups();

const BROKEN_AFTER = 2;
const BREAK_MS = 100;
const EVENT_COUNT = 4;
const WHOLE_BODY = Array.from({length: EVENT_COUNT}, (_, i) =>
	formatEvent(i + 1),
).join('');
/** Pause of a stream that its callers accept. */
const GAP_MS = 400;
const PROVED: IncarnationProof = {kind: 'proved'};

const config = {
	...configuration,
	routes: configuration.routes.map((route) => ({
		...route,
		maxAttempts: 5,
		timeoutMs: 9000,
		latencyTargetMs: 4000,
		gapTargetMs: GAP_MS,
	})),
};

/** Starts an engine that writes all further events at once, or breaks the first run off. */
async function startEngine(end: 'whole' | 'reset', text = 'piece') {
	const seen: string[] = [];
	const backend = await startBackend((req, res) => {
		const after = Number(req.headers['last-event-id'] ?? 0);
		seen.push(String(after));
		res.on('error', () => undefined);
		res.writeHead(200, {'Request-Id': req.headers['request-id']});
		const last = end === 'whole' ? EVENT_COUNT : BROKEN_AFTER;
		Array.from({length: last - after}, (_, i) =>
			res.write(formatEvent(after + i + 1).replace('piece', text)),
		);
		if (end === 'whole') {
			res.end();
		} else {
			setTimeout(() => req.socket.resetAndDestroy(), BREAK_MS);
		}
	});
	cleanups.push(() => backend.server.close());
	return {...backend, seen};
}

/** The word of each backend server, by the number of times that it was asked before. */
type Words = Readonly<
	Record<string, (turn: number) => Promise<IncarnationProof>>
>;

/** Never resolves while the test runs, as the word of an engine whose host is gone. */
const remainSilent = async (): Promise<IncarnationProof> =>
	sleep(60_000, PROVED, {ref: false});

async function run(engines: ReadonlyArray<{port: number}>, words: Words) {
	const turns = new Map<string, number>();
	const harness = await startHarness(
		config,
		{windowMs: 10_000, ratio: 1, extra: 100},
		[],
		{
			incarnations: {
				async ask({id}) {
					const turn = turns.get(id) ?? 0;
					turns.set(id, turn + 1);
					return words[id]?.(turn) ?? PROVED;
				},
				wasSilent: () => false,
			},
		},
	);
	cleanups.push(harness.close);
	harness.setBackends(
		engines.map(({port}) => port),
		[],
		'v1',
	);
	const startedAt = performance.now();
	const response = await call(harness.port, '/stream/1', {'Wait-Ms': '9000'});
	return {response, tookMs: performance.now() - startedAt};
}

it('a stream moves on at once from an engine that can not be asked any more', async () => {
	const engines = [await startEngine('reset'), await startEngine('whole')];
	const beganAt = performance.now();
	const {response, tookMs} = await run(engines, {
		'e-0': async () =>
			performance.now() - beganAt < BREAK_MS ? PROVED : remainSilent(),
	});
	expect(response).toMatchObject({isWhole: true, body: WHOLE_BODY});
	expect(tookMs).toBeLessThan(GAP_MS);
});

// It is short of processor time and has the answer ready no sooner than its word.
it('the answer of an engine is used that takes seconds to say which one it is', async () => {
	const engines = [await startEngine('reset'), await startEngine('whole')];
	const {response} = await run(engines, {
		async 'e-1'() {
			await sleep(1200);
			return PROVED;
		},
	});
	expect(response).toMatchObject({isWhole: true, body: WHOLE_BODY});
	expect(engines[1]!.seen).toEqual([String(BROKEN_AFTER)]);
});

it('a question without an answer is asked again', async () => {
	const engines = [await startEngine('reset'), await startEngine('whole')];
	const {response} = await run(engines, {
		'e-1': async (turn) =>
			turn < 3 ? {kind: 'unproved', reason: 'timeout'} : PROVED,
	});
	expect(response).toMatchObject({isWhole: true, body: WHOLE_BODY});
});

it.each<[string, IncarnationProof]>([
	['has started again', {kind: 'replaced', bornAt: 2}],
	['never says which one it is', {kind: 'unproved', reason: 'timeout'}],
])('no event of an engine is delivered that %s', async (_, proof) => {
	const engines = [
		await startEngine('reset'),
		await startEngine('whole', 'other'),
		await startEngine('whole'),
	];
	const {response} = await run(engines, {
		async 'e-1'() {
			await sleep(100);
			return proof;
		},
	});
	expect(response).toMatchObject({isWhole: true, body: WHOLE_BODY});
});
