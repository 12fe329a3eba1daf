// Guards against refusals and second runs of calls that a backend server ran while
// it wrote a refusal of another call (REFUSED, TWICE).
import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {
	createEntry,
	DEFAULT_TIMINGS,
	stepEntry,
	type EntryEffect,
	type EntryEvent,
} from '@lovagevalve/entry-role';
import {configurationSchema} from '@lovagevalve/inventory';
import {createCallHost, isCallEffect} from '../../call-host.js';

const KEY_HASH = `sha256:${'a'.repeat(64)}`;
const SERVERS = ['p1', 'p2'];
const LATER_MS = 60;

const configuration = configurationSchema.parse({
	inventory: {
		name: 'test',
		dataCentres: [{id: 'dc-1', region: 'r'}],
		services: [
			{
				id: 'grants',
				kind: 'plain',
				workers: SERVERS.map((id) => ({
					id,
					dataCentre: 'dc-1',
					checksFencing: false,
				})),
			},
		],
		customers: [{id: 'label', keyHash: KEY_HASH}],
		operators: [{id: 'op', keyHash: `sha256:${'b'.repeat(64)}`}],
	},
	rules: {nonIdempotent: [{service: 'grants', operation: 'grant'}]},
});

function formatAnswer(status: number, body: unknown): string {
	const text = JSON.stringify(body);
	return `HTTP/1.1 ${status} Text\r\ncontent-type: application/json\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
}

/** What a backend server writes besides or instead of the answer to a call. */
type Script = Readonly<{
	onConnect?: string;
	/** The answer follows, unless `isReplaced`. */
	beforeAnswer?: string;
	isReplaced?: boolean;
	behindAnswer?: string;
}>;

const ANSWER = formatAnswer(200, {done: true});
const cleanups: Array<() => unknown> = [];
const runs: string[] = [];

afterEach(() => {
	runs.length = 0;
	cleanups.splice(0).forEach((cleanup) => cleanup());
});

/** Starts a backend server that runs each call and records it. */
async function startServer(id: string, script: Script): Promise<string> {
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.write(script.onConnect ?? '');
		socket.once('data', (bytes) => {
			const [requestId] = /r-\w+/.exec(Buffer.from(bytes).toString()) ?? [''];
			runs.push(`${id} ${requestId}`);
			socket.write(
				[
					script.beforeAnswer ?? '',
					script.isReplaced ? '' : ANSWER,
					script.behindAnswer ?? '',
				].join(''),
			);
			setTimeout(() => socket.write(script.behindAnswer ?? ''), LATER_MS);
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	cleanups.push(() => server.close());
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts an entry whose control group grants each claim. */
async function startEntry(scripts: readonly Script[]) {
	const clock = {now: () => performance.now(), wall: () => Date.now()};
	const settled: string[] = [];
	let state = createEntry({
		id: 'entry-1',
		address: 'http://10.0.0.1',
		dataCentre: 'dc-1',
		incarnation: 'i1',
		...DEFAULT_TIMINGS,
	});

	const answerClaim = (
		call: string,
		answer: Extract<EntryEvent, {kind: 'claim-answered'}>['answer'],
	): void => {
		setImmediate(() => {
			update({
				kind: 'claim-answered',
				call,
				answer,
				now: clock.now(),
				random: 0,
			});
		});
	};

	const run = (effect: EntryEffect): void => {
		if (isCallEffect(effect)) {
			host.run(effect);
		} else if (effect.kind === 'open-claim') {
			const {call} = effect;
			answerClaim(call, {
				kind: 'granted',
				claim: call,
				dispatchWithinMs: 2000,
			});
		} else if (effect.kind === 'settle-claim') {
			settled.push(effect.outcome.kind);
		}
	};

	const update = (event: EntryEvent): void => {
		const step = stepEntry(state, event);
		({state} = step);
		step.effects.forEach((effect) => {
			run(effect);
		});
	};

	const host = createCallHost({clock, update, random: () => 0});
	update({
		kind: 'lease-granted',
		askedAt: clock.now(),
		now: clock.now(),
		grant: {leaseMs: 60_000, version: 1, configuration, entries: []},
	});
	const addresses = await Promise.all(
		scripts.map(async (script, i) => startServer(SERVERS[i]!, script)),
	);
	addresses.forEach((address, i) => {
		update({
			kind: 'backend-announced',
			announcement: {
				id: SERVERS[i]!,
				service: 'grants',
				dataCentre: 'dc-1',
				address,
				incarnation: 1,
				sequence: 1,
				state: 'serving',
				capacity: 2,
				models: [],
				load: {running: 0, waiting: 0},
				cacheEvents: [],
			},
			isDirect: true,
			now: clock.now(),
			random: 0,
		});
	});

	return {
		settled,
		async call(requestId: string, operation: string) {
			const req = {
				requestId,
				attempt: 1,
				service: 'grants',
				operation,
				body: {},
			};
			const response = host.add(requestId, req);
			const {body, ...input} = req;
			update({
				kind: 'call-requested',
				call: requestId,
				keyHash: KEY_HASH,
				input: {...input, digest: JSON.stringify(body)},
				now: clock.now(),
				random: 0,
			});
			const res = await response;
			return {status: res.status, body: await res.json()};
		},
	};
}

const CASES = [400, 408, 421, 429, 503].flatMap((status) => {
	const stale = formatAnswer(status, {notRun: true});
	const scripts: ReadonlyArray<readonly [string, Script]> = [
		['in place of the answer', {beforeAnswer: stale, isReplaced: true}],
		['before the answer', {beforeAnswer: stale}],
		['before the call', {onConnect: stale}],
		['behind the answer', {behindAnswer: stale}],
	];
	return scripts.map(([place, script]) => [status, place, script] as const);
});

describe('a refusal of another call', () => {
	it.each(CASES)(
		'is no promise for one that may run once: %i %s',
		async (_status, _place, script) => {
			const entry = await startEntry([script, script]);
			const responses = [
				await entry.call('r-1', 'grant'),
				await entry.call('r-2', 'grant'),
			];
			await new Promise((resolve) => {
				setTimeout(resolve, 2 * LATER_MS);
			});
			const ids = runs.map((run) => run.split(' ')[1]);
			expect(new Set(ids).size).toBe(ids.length);
			// What the service answered, or that the outcome is not known.
			responses.forEach(({status, body}) => {
				expect([200, 409]).toContain(status);
				expect(body).not.toMatchObject({outcome: 'not-run'});
			});
			expect(entry.settled).toHaveLength(2);
			expect(entry.settled).not.toContain('not-run');
		},
	);

	it.each([429, 503])(
		'sends one that may run again to another backend server: %i',
		async (status) => {
			const stale = formatAnswer(status, {notRun: true});
			const faulty = {beforeAnswer: stale, isReplaced: true};
			const entry = await startEntry([faulty, {}]);
			// Both at once, so that one goes to the faulty server.
			const responses = await Promise.all([
				entry.call('r-1', 'read'),
				entry.call('r-2', 'read'),
			]);
			expect(responses).toMatchObject([
				{status: 200, body: {status: 200}},
				{status: 200, body: {status: 200}},
			]);
			expect(runs).toHaveLength(3);
		},
	);
});
