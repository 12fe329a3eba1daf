import {describe, expect, it} from 'vitest';
import type {Hono} from 'hono';
import {createBatch} from '../../batch.js';
import {createEngineApp} from '../../engine-app.js';
import type {BackendState} from '../../orders.js';
import {createPrefixCache} from '../../prefix-cache.js';
import type {RunRecord} from '../../run-record.js';
import {verifyTranscript} from '../../tokens.js';

const PROMPT = 'Summarise the clearance of song 12.';

function createTestEngine(checksFencing = true) {
	const records: RunRecord[] = [];
	const record = (entry: RunRecord): void => {
		records.push(entry);
	};

	let state: BackendState = {models: [], fencing: 0};
	const batch = createBatch({
		capacity: 2,
		msPerToken: 1,
		slowdownShare: 0,
		prefillMsPerKb: 0,
		holdMs: 60_000,
		progressEvery: 8,
		record,
		cache: createPrefixCache(2),
		onStart() {
			// No crash is injected.
		},
	});
	const app = createEngineApp({
		batch,
		record,
		checksFencing,
		getState: () => state,
		setState(next) {
			state = next;
		},
	});
	return {app, records, getState: () => state};
}

async function post(app: Hono, path: string, body: unknown) {
	return app.request(path, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify(body),
	});
}

function readTokens(text: string): string[] {
	return text
		.split('\n')
		.filter((line) => line.startsWith('data: '))
		.flatMap(
			(line) => (JSON.parse(line.slice(6)) as {tokens?: string[]}).tokens ?? [],
		);
}

const START = {generation: 'g1', attempt: 1, prompt: PROMPT, maxTokens: 20};

async function generate(app: Hono, prefix: readonly string[] = []) {
	const res = await post(app, '/v1/generations', {...START, prefix});
	return readTokens(await res.text());
}

describe('fake engine', () => {
	it('continues the same run from a prefix, and starts a different run without one', async () => {
		const whole = await generate(createTestEngine().app);
		const prefix = whole.slice(0, 7);
		const rest = await generate(createTestEngine().app, prefix);
		expect(verifyTranscript(PROMPT, whole)).toBe(true);
		expect([...prefix, ...rest]).toEqual(whole);
		const other = await generate(createTestEngine().app);
		expect(other).not.toEqual(whole);
	});

	it('continues a run after its reader disconnects, and resumes its stream', async () => {
		const {app, records} = createTestEngine();
		const res = await post(app, '/v1/generations', START);
		await res.body?.cancel();
		const resumed = await app.request(
			'/v1/generations/g1/stream?attempt=1&from=0',
		);
		expect(verifyTranscript(PROMPT, readTokens(await resumed.text()))).toBe(
			true,
		);
		expect(records.filter(({kind}) => kind === 'started')).toHaveLength(1);
		const wrongAttempt = await app.request(
			'/v1/generations/g1/stream?attempt=2&from=0',
		);
		expect(wrongAttempt.status).toBe(409);
		const absent = await app.request(
			'/v1/generations/g2/stream?attempt=1&from=0',
		);
		expect(absent.status).toBe(404);
	});

	it('cancels only the given attempt', async () => {
		const {app, records} = createTestEngine();
		const res = await post(app, '/v1/generations', {
			...START,
			maxTokens: 1_000_000,
		});
		const remove = async (attempt: number) => {
			const path = `/v1/generations/g1?attempt=${attempt}`;
			const answer = await app.request(path, {method: 'DELETE'});
			return answer.status;
		};

		expect(await remove(2)).toBe(404);
		expect(await remove(1)).toBe(200);
		await res.text();
		expect(records.at(-1)).toMatchObject({kind: 'ended', cancelled: true});
	});

	it('rejects an outdated fencing token only when it checks fencing', async () => {
		const sendOrder = async (app: Hono, fencing: number) => {
			const action = {kind: 'set-role', role: `r${fencing}`};
			const order = `o${fencing}`;
			const res = await post(app, '/v1/orders', {order, fencing, action});
			return res.status;
		};

		const checking = createTestEngine(true);
		const ignoring = createTestEngine(false);
		await sendOrder(checking.app, 2);
		await sendOrder(ignoring.app, 2);
		expect(await sendOrder(checking.app, 1)).toBe(409);
		expect(await sendOrder(ignoring.app, 1)).toBe(200);
		expect(checking.getState().role).toBe('r2');
		expect(ignoring.getState().role).toBe('r1');
	});
});
