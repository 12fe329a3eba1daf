import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {
	createGeneration,
	getDetectionPolicy,
	stepGeneration,
	type GenerationEffect,
	type GenerationEvent,
} from '@lovagevalve/generation';
import {createEngineHost} from '../../engine-host.js';

// An engine goes on behind the tokens that were asked for: the answer is whole on another
// engine, and the faulty one isn't reported as unreachable.

const MAX_TOKENS = 100;
const TICK_MS = 25;
const STREAM = 's';
const GENERATION = 'g';

const cleanups: Array<() => unknown> = [];

afterEach(() => {
	cleanups.splice(0).forEach((cleanup) => cleanup());
});

/** Starts an engine; a faulty one sends a thousand tokens whatever was asked for. */
async function startEngine(kind: 'faulty' | 'sound'): Promise<string> {
	const sendTokens = (res: ServerResponse, attempt: number, from: number) => {
		const total = kind === 'faulty' ? MAX_TOKENS * 10 : MAX_TOKENS;
		const ids = {generation: GENERATION, attempt};
		Array.from({length: total - from}, (_, i) => {
			const data = {...ids, offset: from + i, tokens: [`${from + i} `]};
			return res.write(`event: tokens\ndata: ${JSON.stringify(data)}\n\n`);
		});
		res.end(`event: done\ndata: ${JSON.stringify({...ids, total})}\n\n`);
	};

	const server = createServer((req, res) => {
		const {pathname, searchParams} = new URL(req.url!, 'http://engine');
		let body = '';
		req.on('data', (data) => {
			body += String(data);
		});
		req.on('end', () => {
			if (req.method === 'POST') {
				const start = JSON.parse(body) as {attempt: number; prefix: string[]};
				sendTokens(res, start.attempt, start.prefix.length);
			} else if (pathname.endsWith('/stream')) {
				const {attempt, from} = Object.fromEntries(searchParams);
				sendTokens(res, Number(attempt), Number(from));
			} else {
				const ids = {generation: GENERATION, attempt: 1};
				res.end(JSON.stringify({...ids, length: 1000, state: 'done'}));
			}
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	cleanups.push(() => server.close());
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

it('an answer is whole on another engine when one sends too many tokens', async () => {
	const engines = [await startEngine('faulty'), await startEngine('sound')];
	const clock = {now: () => performance.now(), wall: () => Date.now()};
	const delivered: string[] = [];
	const causes: string[] = [];
	let chunk: readonly string[] = [];
	let end: GenerationEffect | undefined;
	const first = createGeneration(
		{
			id: GENERATION,
			policy: getDetectionPolicy('resume-latency'),
			retryLimit: 3,
			start: {kind: 'new'},
		},
		clock.now(),
	);
	let {state} = first;

	const update = (event: GenerationEvent): void => {
		const step = stepGeneration(state, event);
		({state} = step);
		step.effects.forEach((effect) => {
			run(effect);
		});
	};

	const host = createEngineHost({
		clock,
		dispatchEvent(_, event) {
			update(event);
		},
		handleChunk(_, connection, {tokens, ...rest}) {
			chunk = tokens;
			const now = clock.now();
			update({
				kind: 'chunk-received',
				connection,
				...rest,
				count: tokens.length,
				now,
			});
		},
	});

	const run = (effect: GenerationEffect): void => {
		const ids = {stream: STREAM, generation: GENERATION};
		switch (effect.kind) {
			case 'cancel':
			case 'retain':
			case 'report-resume': {
				return;
			}

			case 'place': {
				const backend = engines.find((one) => !effect.excluded.includes(one))!;
				setImmediate(update, {kind: 'placed', backend, now: clock.now()});
				return;
			}

			case 'start': {
				const address = effect.backend;
				const prefix = delivered.slice(0, effect.prefixLength);
				host.start(
					{
						...effect,
						...ids,
						kind: 'start-attempt',
						address,
						model: undefined,
						priority: 0,
					},
					{prompt: 'p', prefix, maxTokens: MAX_TOKENS},
				);
				return;
			}

			case 'resume': {
				const address = effect.backend;
				host.resume(
					{...effect, ...ids, kind: 'resume-attempt', address},
					MAX_TOKENS,
				);
				return;
			}

			case 'probe': {
				const address = effect.backend;
				host.probe({...effect, ...ids, kind: 'probe-attempt', address});
				return;
			}

			case 'close': {
				host.close(STREAM, effect.connection);
				return;
			}

			case 'deliver': {
				delivered.push(...chunk.slice(-effect.count));
				return;
			}

			case 'report-death': {
				causes.push(effect.cause);
				return;
			}

			case 'finish':
			case 'fail': {
				end = effect;
			}
		}
	};

	const ticker = setInterval(() => {
		update({kind: 'ticked', now: clock.now()});
	}, TICK_MS);
	cleanups.push(() => {
		clearInterval(ticker);
		host.closeAll(STREAM);
	});
	first.effects.forEach((effect) => {
		run(effect);
	});
	await expect
		.poll(() => end, {timeout: 20_000})
		.toEqual({kind: 'finish', total: MAX_TOKENS});
	expect(delivered).toEqual(
		Array.from({length: MAX_TOKENS}, (_, i) => `${i} `),
	);
	expect(causes).toEqual(['stalled']);
});
