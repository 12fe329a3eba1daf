import type {Clock} from './clock.js';
import type {Random} from './random.js';

/**
 * Time per token of a batch step: this base and a part for each running stream.
 */
const STEP_BASE_MS = 18;
const STEP_PER_STREAM_MS = 0.8;
/** Tokens generated for each stream in one simulated batch step. */
const STEP_TOKENS = 3;
const PREFILL_TOKENS_PER_MS = 8;
/** Share of a prompt that is the common prefix of its family. */
const PREFIX_SHARE = 0.7;
const MAX_CACHED_FAMILIES = 6;
/** Share of steps that take longer by a random time. */
const SLOW_STEP_SHARE = 0.0008;
const SLOW_STEP_MIN_MS = 300;
const SLOW_STEP_MAX_MS = 2500;

/** A stream from an engine to an entry. */
export type Connection = {
	isOpen: boolean;
	isSilent: boolean;
	onChunk: (offset: number, count: number) => void;
	onEnd: (total: number) => void;
	onLost: () => void;
};

/** An attempt as submitted to an engine. */
export type Job = {
	generation: string;
	attempt: number;
	promptTokens: number;
	/** Prompts of one family share a prefix. */
	family: string;
	prefixLength: number;
	total: number;
	isKiller: boolean;
	/** Counters that the engine updates as it works, in tokens. */
	work: {decoded: number; prefilled: number};
};

type Running = {
	job: Job;
	length: number;
	readyAt: number;
	connection: Connection | undefined;
};

/** A simulated engine with batching, prefill cost and a small prefix cache. */
export type Engine = ReturnType<typeof createEngine>;

/** Identity, location and capacity of an engine. */
export type EngineOptions = Readonly<{
	id: string;
	dataCentre: string;
	rack: string;
	capacity: number;
}>;

/** Creates a running engine. */
export function createEngine(
	options: EngineOptions,
	clock: Clock,
	random: Random,
	onCache: (kind: 'stored' | 'evicted', family: string) => void,
) {
	let status: 'up' | 'paused' | 'dead' = 'up';
	let incarnation = 1;
	let isStepping = false;
	let epoch = 0;
	let prefillFreeAt = 0;
	let resetsConnections = true;
	let cachedFamilies: string[] = [];
	const heldAttempts = new Map<string, Running>();
	let running: Running[] = [];
	let waiting: Running[] = [];

	const createAttemptKey = (generation: string, attempt: number) =>
		`${generation}#${attempt}`;

	const touchPrefixCache = (family: string): boolean => {
		const isCached = cachedFamilies.includes(family);
		cachedFamilies = [
			...cachedFamilies.filter((other) => other !== family),
			family,
		];
		if (!isCached) {
			onCache('stored', family);
		}

		if (cachedFamilies.length > MAX_CACHED_FAMILIES) {
			onCache('evicted', cachedFamilies.shift()!);
		}

		return isCached;
	};

	const prefill = (stream: Running) => {
		const {job} = stream;
		const isCached = touchPrefixCache(job.family);
		const prompt = job.promptTokens * (isCached ? 1 - PREFIX_SHARE : 1);
		const tokens = prompt + job.prefixLength;
		job.work.prefilled += tokens;
		prefillFreeAt =
			Math.max(clock.now(), prefillFreeAt) + tokens / PREFILL_TOKENS_PER_MS;
		stream.readyAt = prefillFreeAt;
	};

	const emit = (stream: Running, offset: number) => {
		const {connection, job, length} = stream;
		if (!connection?.isOpen || connection.isSilent) {
			return;
		}

		if (length > offset) {
			connection.onChunk(offset, length - offset);
		}

		if (length === job.total) {
			connection.onEnd(length);
		}
	};

	const die = (isReset: boolean) => {
		status = 'dead';
		epoch++;
		resetsConnections = isReset;
		isStepping = false;
		prefillFreeAt = 0;
		cachedFamilies = [];
		const streams = [...running, ...waiting];
		running = [];
		waiting = [];
		heldAttempts.clear();
		streams.forEach(({connection}) => {
			if (isReset && connection?.isOpen) {
				clock.schedule(1, connection.onLost);
			}
		});
	};

	const startWaiting = () => {
		while (running.length < options.capacity && waiting.length > 0) {
			const next = waiting.shift()!;
			prefill(next);
			running.push(next);
		}
	};

	const advance = (stream: Running) => {
		if (stream.readyAt > clock.now()) {
			return;
		}

		const from = stream.length;
		stream.length = Math.min(stream.job.total, from + STEP_TOKENS);
		stream.job.work.decoded += stream.length - from;
		emit(stream, from);
	};

	const step = () => {
		running.forEach(advance);
		const killer = running.find(
			({job, length}) => job.isKiller && length > job.prefixLength,
		);
		running = running.filter(({job, length}) => length < job.total);
		startWaiting();
		if (killer !== undefined) {
			die(random.draw() < 0.5);
			clock.schedule(10_000, restart);
		}
	};

	const scheduleStep = () => {
		if (isStepping || status !== 'up' || running.length === 0) {
			return;
		}

		isStepping = true;
		const startEpoch = epoch;
		const slowStepMs =
			random.draw() < SLOW_STEP_SHARE
				? random.between(SLOW_STEP_MIN_MS, SLOW_STEP_MAX_MS)
				: 0;
		const stepMs = STEP_BASE_MS + STEP_PER_STREAM_MS * running.length;
		const delayMs =
			stepMs * STEP_TOKENS * random.between(0.9, 1.15) + slowStepMs;
		clock.schedule(delayMs, () => {
			if (startEpoch === epoch) {
				isStepping = false;
				step();
				scheduleStep();
			}
		});
	};

	const restart = () => {
		status = 'up';
		incarnation++;
	};

	return {
		...options,
		getStatus: () => status,
		getIncarnation: () => incarnation,
		getLoad: () => ({running: running.length, waiting: waiting.length}),
		isHolding: (generation: string, attempt: number) =>
			heldAttempts.has(createAttemptKey(generation, attempt)),
		/** Whether the address of the dead engine resets new connections. */
		isResetting: () => resetsConnections,
		start(job: Job, connection: Connection) {
			const stream = {
				job,
				length: job.prefixLength,
				readyAt: Infinity,
				connection,
			};
			heldAttempts.set(createAttemptKey(job.generation, job.attempt), stream);
			waiting.push(stream);
			startWaiting();
			scheduleStep();
		},
		/**
		 * Attaches a new stream to a held attempt; returns false if it is not held.
		 */
		resume(
			generation: string,
			attempt: number,
			offset: number,
			connection: Connection,
		): boolean {
			const stream = heldAttempts.get(createAttemptKey(generation, attempt));
			if (stream === undefined) {
				return false;
			}

			stream.connection = connection;
			emit(stream, offset);
			return true;
		},
		getLength: (generation: string, attempt: number) =>
			heldAttempts.get(createAttemptKey(generation, attempt))?.length ?? 0,
		cancel(generation: string, attempt: number) {
			const stream = heldAttempts.get(createAttemptKey(generation, attempt));
			heldAttempts.delete(createAttemptKey(generation, attempt));
			running = running.filter((other) => other !== stream);
			waiting = waiting.filter((other) => other !== stream);
			startWaiting();
			scheduleStep();
		},
		pause() {
			status = 'paused';
			epoch++;
			isStepping = false;
		},
		continueRunning() {
			status = 'up';
			scheduleStep();
		},
		die,
		restart,
	};
}
