import {randomBytes} from 'node:crypto';
import type {EngineStart} from '@lovagevalve/wire';
import {err, ok, type Result} from 'neverthrow';
import type {PrefixCache} from './prefix-cache.js';
import type {RecordWriter} from './run-record.js';
import {createFirstToken, createNextToken} from './tokens.js';

const QUEUE_LIMIT = 1024;
const MIN_STEP_MS = 1;
const BYTES_PER_KB = 1024;

/** One attempt that the engine runs or holds. */
export type Run = {
	readonly request: EngineStart;
	/** The answer from its start, the prefix included. */
	readonly tokens: string[];
	state: 'waiting' | 'running' | 'done' | 'cancelled';
	/** When the prompt and the prefix are computed. */
	readyAt: number;
	readonly listeners: Set<() => void>;
};

/** Settings of the batch. */
export type BatchConfig = Readonly<{
	capacity: number;
	msPerToken: number;
	/** Share by which each further running stream slows the others. */
	slowdownShare: number;
	prefillMsPerKb: number;
	/** How long a finished run can still be read. */
	holdMs: number;
	record: RecordWriter;
	/** Tokens of a run between two records of its progress. */
	progressEvery: number;
	cache: PrefixCache;
	/** Called when a run starts, before its first token. */
	onStart: (request: EngineStart) => void;
}>;

/** Load of the batch. */
export type BatchLoad = Readonly<{
	running: number;
	waiting: number;
	msPerToken: number;
}>;

/** Continuous batch: every step gives each running stream a token. */
export type Batch = Readonly<{
	start: (req: EngineStart) => Result<Run, 'held' | 'overloaded'>;
	find: (generation: string) => Run | undefined;
	cancel: (generation: string, attempt: number) => boolean;
	load: () => BatchLoad;
}>;

function notify(run: Run): void {
	[...run.listeners].forEach((listener) => {
		listener();
	});
}

function appendToken(run: Run): void {
	const {prompt} = run.request;
	const previous = run.tokens.at(-1);
	run.tokens.push(
		previous === undefined
			? createFirstToken(prompt, randomBytes(4).toString('hex'))
			: createNextToken(prompt, run.tokens.length, previous),
	);
}

function countProduced(run: Run): number {
	return run.tokens.length - run.request.prefix.length;
}

function createRun(request: EngineStart): Run {
	return {
		request,
		tokens: [...request.prefix],
		state: 'waiting',
		readyAt: 0,
		listeners: new Set(),
	};
}

/** Creates a batch without runs. */
export function createBatch(cfg: BatchConfig): Batch {
	const runs = new Map<string, Run>();
	let timer: NodeJS.Timeout | undefined;

	const select = (state: Run['state']): Run[] =>
		[...runs.values()].filter((run) => run.state === state);

	const getPace = (): number =>
		cfg.msPerToken *
		(1 + cfg.slowdownShare * Math.max(0, select('running').length - 1));

	const end = (run: Run, state: 'done' | 'cancelled'): void => {
		const {generation, attempt} = run.request;
		const produced = countProduced(run);
		run.state = state;
		cfg.record({
			kind: 'ended',
			generation,
			attempt,
			produced,
			cancelled: state === 'cancelled',
		});
		notify(run);
		const forget = (): void => {
			if (runs.get(generation) === run) {
				runs.delete(generation);
			}
		};

		if (state === 'cancelled') {
			forget();
		} else {
			setTimeout(forget, cfg.holdMs).unref();
		}
	};

	const admit = (run: Run): void => {
		const {generation, attempt, prompt, prefix} = run.request;
		const promptBytes = cfg.cache.use(prompt) ? 0 : prompt.length;
		const bytes = promptBytes + prefix.join('').length;
		run.state = 'running';
		run.readyAt =
			performance.now() + (cfg.prefillMsPerKb * bytes) / BYTES_PER_KB;
		const prefixLength = prefix.length;
		cfg.record({kind: 'started', generation, attempt, prompt, prefixLength});
		cfg.onStart(run.request);
	};

	const admitWaiting = (): void => {
		const room = Math.max(0, cfg.capacity - select('running').length);
		select('waiting')
			.toSorted((a, b) => b.request.priority - a.request.priority)
			.slice(0, room)
			.forEach((run) => {
				admit(run);
			});
	};

	const advance = (run: Run): void => {
		if (run.tokens.length < run.request.maxTokens) {
			appendToken(run);
		}

		if (run.tokens.length >= run.request.maxTokens) {
			end(run, 'done');
			return;
		}

		const produced = countProduced(run);
		if (produced % cfg.progressEvery === 0) {
			const {generation, attempt} = run.request;
			cfg.record({kind: 'progress', generation, attempt, produced});
		}

		notify(run);
	};

	const step = (): void => {
		const now = performance.now();
		select('running')
			.filter((run) => run.readyAt <= now)
			.forEach((run) => {
				advance(run);
			});
		schedule();
	};

	const schedule = (): void => {
		admitWaiting();
		const active = select('running').length > 0;
		timer = active
			? setTimeout(step, Math.max(MIN_STEP_MS, getPace()))
			: undefined;
	};

	const cancel = (generation: string, attempt: number): boolean => {
		const run = runs.get(generation);
		if (run?.request.attempt !== attempt) {
			return false;
		}

		if (run.state === 'done') {
			runs.delete(generation);
		} else {
			end(run, 'cancelled');
		}

		return true;
	};

	return {
		start(request) {
			const held = runs.get(request.generation);
			if (held !== undefined && held.request.attempt >= request.attempt) {
				return err('held');
			}

			if (select('waiting').length >= QUEUE_LIMIT) {
				return err('overloaded');
			}

			if (held !== undefined) {
				cancel(request.generation, held.request.attempt);
			}

			const run = createRun(request);
			runs.set(request.generation, run);
			if (timer === undefined) {
				schedule();
			} else {
				admitWaiting();
			}

			return ok(run);
		},
		find: (generation) => runs.get(generation),
		cancel,
		load: () => ({
			running: select('running').length,
			waiting: select('waiting').length,
			msPerToken: getPace(),
		}),
	};
}
