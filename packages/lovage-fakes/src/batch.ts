import {randomBytes} from 'node:crypto';
import type {EngineStart} from '@lovagevalve/wire';
import {err, ok, type Result} from 'neverthrow';
import type {PrefixCache} from './prefix-cache.js';
import type {RecordWriter} from './run-record.js';
import {createFirstToken, createNextToken} from './tokens.js';

const MAX_QUEUED_RUNS = 1024;
const MIN_STEP_INTERVAL_MS = 1;
const BYTES_PER_KB = 1024;

/** One attempt of a generation, kept for a while after it is done. */
export type Run = {
	readonly request: EngineStart;
	/** All tokens of the answer, including the prefix. */
	readonly tokens: string[];
	state: 'waiting' | 'running' | 'done' | 'cancelled';
	/** Time at which the prefill of prompt and prefix ends. */
	prefilledAt: number;
	readonly listeners: Set<() => void>;
};

/** Settings of the batch. */
export type BatchConfig = Readonly<{
	capacity: number;
	msPerToken: number;
	/** Fraction by which each additional running stream slows down every step. */
	slowdownShare: number;
	prefillMsPerKb: number;
	/** How long a finished run stays readable. */
	holdMs: number;
	record: RecordWriter;
	/** Number of tokens of a run between two progress records. */
	progressEvery: number;
	cache: PrefixCache;
	/** Called when a run starts, before its first token. */
	onStart: (request: EngineStart) => void;
}>;

/** Current load, as `/v1/load` and announcements report it. */
export type BatchLoad = Readonly<{
	running: number;
	waiting: number;
	msPerToken: number;
}>;

/** Continuous batching: each step generates one token for every running stream. */
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

function countGenerated(run: Run): number {
	return run.tokens.length - run.request.prefix.length;
}

function createRun(request: EngineStart): Run {
	return {
		request,
		tokens: [...request.prefix],
		state: 'waiting',
		prefilledAt: 0,
		listeners: new Set(),
	};
}

/** Creates an empty batch. */
export function createBatch(cfg: BatchConfig): Batch {
	const runs = new Map<string, Run>();
	let timer: NodeJS.Timeout | undefined;

	const filterByState = (state: Run['state']): Run[] =>
		[...runs.values()].filter((run) => run.state === state);

	const computeMsPerToken = (): number =>
		cfg.msPerToken *
		(1 + cfg.slowdownShare * Math.max(0, filterByState('running').length - 1));

	const finish = (run: Run, state: 'done' | 'cancelled'): void => {
		const {generation, attempt} = run.request;
		const produced = countGenerated(run);
		run.state = state;
		cfg.record({
			kind: 'ended',
			generation,
			attempt,
			produced,
			cancelled: state === 'cancelled',
		});
		notify(run);
		const discard = (): void => {
			if (runs.get(generation) === run) {
				runs.delete(generation);
			}
		};

		if (state === 'cancelled') {
			discard();
		} else {
			setTimeout(discard, cfg.holdMs).unref();
		}
	};

	const startPrefill = (run: Run): void => {
		const {generation, attempt, prompt, prefix} = run.request;
		const promptBytes = cfg.cache.touch(prompt) ? 0 : prompt.length;
		const bytes = promptBytes + prefix.join('').length;
		run.state = 'running';
		run.prefilledAt =
			performance.now() + (cfg.prefillMsPerKb * bytes) / BYTES_PER_KB;
		const prefixLength = prefix.length;
		cfg.record({kind: 'started', generation, attempt, prompt, prefixLength});
		cfg.onStart(run.request);
	};

	const startWaitingRuns = (): void => {
		const freeSlots = Math.max(
			0,
			cfg.capacity - filterByState('running').length,
		);
		filterByState('waiting')
			.toSorted((a, b) => b.request.priority - a.request.priority)
			.slice(0, freeSlots)
			.forEach((run) => {
				startPrefill(run);
			});
	};

	const generateToken = (run: Run): void => {
		if (run.tokens.length < run.request.maxTokens) {
			appendToken(run);
		}

		if (run.tokens.length >= run.request.maxTokens) {
			finish(run, 'done');
			return;
		}

		const produced = countGenerated(run);
		if (produced % cfg.progressEvery === 0) {
			const {generation, attempt} = run.request;
			cfg.record({kind: 'progress', generation, attempt, produced});
		}

		notify(run);
	};

	const runStep = (): void => {
		const now = performance.now();
		filterByState('running')
			.filter((run) => run.prefilledAt <= now)
			.forEach((run) => {
				generateToken(run);
			});
		scheduleStep();
	};

	const scheduleStep = (): void => {
		startWaitingRuns();
		const hasRunning = filterByState('running').length > 0;
		timer = hasRunning
			? setTimeout(runStep, Math.max(MIN_STEP_INTERVAL_MS, computeMsPerToken()))
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
			finish(run, 'cancelled');
		}

		return true;
	};

	return {
		start(request) {
			const existing = runs.get(request.generation);
			if (
				existing !== undefined &&
				existing.request.attempt >= request.attempt
			) {
				return err('held');
			}

			if (filterByState('waiting').length >= MAX_QUEUED_RUNS) {
				return err('overloaded');
			}

			if (existing !== undefined) {
				cancel(request.generation, existing.request.attempt);
			}

			const run = createRun(request);
			runs.set(request.generation, run);
			if (timer === undefined) {
				scheduleStep();
			} else {
				startWaitingRuns();
			}

			return ok(run);
		},
		find: (generation) => runs.get(generation),
		cancel,
		load: () => ({
			running: filterByState('running').length,
			waiting: filterByState('waiting').length,
			msPerToken: computeMsPerToken(),
		}),
	};
}
