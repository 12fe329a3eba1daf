import {
	type ChunkBudget,
	MAX_SMALL_CHUNKS,
	takeSmallChunks,
} from './chunk-budget.js';
import type {Clock} from './clock.js';
import type {Logger} from './logs.js';
import {
	type BufferDecision,
	type BufferSource,
	type BufferUse,
	decideBuffering,
} from './memory-budget.js';
import type {PrometheusMetrics} from './prometheus-metrics.js';

/** Who has sent what is buffered, such as a customer or a backend server. */
export type BufferHolder = Readonly<{source: BufferSource; name: string}>;

/** Bytes that one exchange buffers. */
export type BufferAccount = Readonly<{
	/**
	 * Sets the number of bytes that the exchange buffers. Returns false and leaves it as
	 * it is if that would pass a bound.
	 */
	resize: (bytes: number) => boolean;
	/** Whether the exchange could buffer so many bytes now; false is logged and counted. */
	canHold: (bytes: number) => boolean;
	/** Whether so many small chunks may be read now; false is logged and counted. */
	takeSmallChunks: (chunks: number) => boolean;
	/** Whether so many small chunks of a refused body may be read now. */
	takeDiscardedChunks: (chunks: number) => boolean;
	/** Gives all bytes back; may be called more than once. */
	release: () => void;
	/** Gives all bytes back; nothing is granted any more. */
	close: () => void;
}>;

/** Bound of the bytes that a process buffers over all its connections. */
export type BufferBudget = Readonly<{
	capacityBytes: number;
	/** Opens the account of an exchange; it holds nothing yet. */
	open: (holder: BufferHolder) => BufferAccount;
	readUsedBytes: () => number;
	readPeakBytes: () => number;
}>;

/** Dependencies of a budget. */
export type BufferBudgetOptions = Readonly<{
	capacityBytes: number;
	log: Logger;
	metrics: PrometheusMetrics;
	clock?: Pick<Clock, 'now'>;
	/** Small chunks that the process reads at once. */
	maxSmallChunks?: number;
}>;

const MAX_LOGGED_NAME_LENGTH = 64;

/** Creates the budget of a process. */
export function createBufferBudget({
	capacityBytes,
	log,
	metrics,
	clock = performance,
	maxSmallChunks = MAX_SMALL_CHUNKS,
}: BufferBudgetOptions): BufferBudget {
	const fullChunks = {chunks: maxSmallChunks, atMs: clock.now()};
	const chunkBudgets: Record<'kept' | 'discarded', ChunkBudget> = {
		kept: fullChunks,
		discarded: fullChunks,
	};
	const sources = new Map<BufferSource, number>();
	const holders = new Map<string, number>();
	let usedBytes = 0;
	let peakBytes = 0;

	const toKey = ({source, name}: BufferHolder): string => `${source} ${name}`;

	const readUse = (holder: BufferHolder): Omit<BufferUse, 'exchangeBytes'> => ({
		source: holder.source,
		usedBytes,
		sourceBytes: sources.get(holder.source) ?? 0,
		holderBytes: holders.get(toKey(holder)) ?? 0,
		capacityBytes,
	});

	const add = (holder: BufferHolder, bytes: number): void => {
		const key = toKey(holder);
		const {sourceBytes, holderBytes} = readUse(holder);
		usedBytes += bytes;
		peakBytes = Math.max(peakBytes, usedBytes);
		sources.set(holder.source, sourceBytes + bytes);
		if (holderBytes + bytes === 0) {
			holders.delete(key);
		} else {
			holders.set(key, holderBytes + bytes);
		}
	};

	const recordRefusal = (
		holder: BufferHolder,
		decision: Exclude<BufferDecision, 'grant'>,
		addedBytes: number,
	): void => {
		const {sourceBytes, holderBytes} = readUse(holder);
		metrics.count('buffer_refusals', {source: holder.source, decision});
		log.warn('A bound of buffered bytes is reached.', {
			source: holder.source,
			holder: holder.name.slice(0, MAX_LOGGED_NAME_LENGTH),
			decision,
			addedBytes,
			holderBytes,
			sourceBytes,
			usedBytes,
			capacityBytes,
		});
	};

	const canAdd = (
		holder: BufferHolder,
		exchangeBytes: number,
		addedBytes: number,
	): boolean => {
		const use = {...readUse(holder), exchangeBytes};
		const decision = decideBuffering(use, addedBytes);
		if (decision !== 'grant') {
			recordRefusal(holder, decision, addedBytes);
		}

		return decision === 'grant';
	};

	const takeChunks = (
		{source, name}: BufferHolder,
		use: keyof typeof chunkBudgets,
		wanted: number,
	): boolean => {
		const left = takeSmallChunks(chunkBudgets[use], {
			wanted,
			nowMs: clock.now(),
			maxChunks: maxSmallChunks,
		});
		if (left === undefined) {
			const decision = `${use}-chunks-full`;
			metrics.count('buffer_refusals', {source, decision});
			log.warn('A bound of small chunks is reached.', {
				source,
				holder: name.slice(0, MAX_LOGGED_NAME_LENGTH),
				decision,
				wanted,
				maxSmallChunks,
			});
		} else {
			chunkBudgets[use] = left;
		}

		return left !== undefined;
	};

	metrics.registerGauge('buffered_bytes', () => usedBytes);
	metrics.registerGauge('buffered_peak_bytes', () => peakBytes);
	metrics.registerGauge('buffered_limit_bytes', () => capacityBytes);
	return {
		capacityBytes,
		readUsedBytes: () => usedBytes,
		readPeakBytes: () => peakBytes,
		open(holder) {
			let heldBytes = 0;
			let isClosed = false;
			const canHold = (bytes: number): boolean =>
				bytes <= heldBytes ||
				(!isClosed && canAdd(holder, heldBytes, bytes - heldBytes));
			const release = (): void => {
				add(holder, -heldBytes);
				heldBytes = 0;
			};

			return {
				canHold,
				resize(bytes) {
					if (!canHold(bytes)) {
						return false;
					}

					add(holder, bytes - heldBytes);
					heldBytes = bytes;
					return true;
				},
				takeSmallChunks: (chunks) => takeChunks(holder, 'kept', chunks),
				takeDiscardedChunks: (chunks) =>
					takeChunks(holder, 'discarded', chunks),
				release,
				close() {
					isClosed = true;
					release();
				},
			};
		},
	};
}
