import process from 'node:process';
import type {Clock} from './clock.js';
import type {Logger} from './logs.js';
import {computeLoggedLevel} from './memory-budget.js';
import type {PrometheusMetrics} from './prometheus-metrics.js';

/** Dependencies of a watch. */
export type UsageWatchOptions = Readonly<{
	clock: Pick<Clock, 'now'>;
	log: Logger;
	metrics: PrometheusMetrics;
	/** Memory that the process may use, in bytes. */
	memoryBytes: number;
	/** Bytes that are buffered over all connections. */
	readBufferedBytes: () => number;
}>;

const SAMPLE_INTERVAL_MS = 500;
/** Delay of the event loop that callers of streams notice. */
const LOGGED_DELAY_MS = 250;
const MEGABYTE = 1_048_576;

function toMegabytes(bytes: number): number {
	return Math.round(bytes / MEGABYTE);
}

/**
 * Watches the memory of the process and the delay of its event loop. A process that
 * is ended for its memory can't say so itself; its last such line does.
 */
export function watchUsage({
	clock,
	log,
	metrics,
	memoryBytes,
	readBufferedBytes,
}: UsageWatchOptions): () => void {
	let sampledAt = clock.now();
	let delayMs = 0;
	let peakDelayMs = 0;
	let peakResidentBytes = 0;
	let loggedLevel = 0;

	const sampleDelay = (): void => {
		const now = clock.now();
		delayMs = Math.max(0, now - sampledAt - SAMPLE_INTERVAL_MS);
		sampledAt = now;
		peakDelayMs = Math.max(peakDelayMs, delayMs);
		if (delayMs >= LOGGED_DELAY_MS) {
			log.warn('The event loop stood still.', {
				delayMs: Math.round(delayMs),
				bufferedMb: toMegabytes(readBufferedBytes()),
			});
		}
	};

	const sampleMemory = (): void => {
		const residentBytes = process.memoryUsage.rss();
		peakResidentBytes = Math.max(peakResidentBytes, residentBytes);
		const level = computeLoggedLevel(loggedLevel, residentBytes, memoryBytes);
		if (level > loggedLevel) {
			const {heapUsed, external} = process.memoryUsage();
			log.warn('Memory use has grown.', {
				residentMb: toMegabytes(residentBytes),
				limitMb: toMegabytes(memoryBytes),
				heapMb: toMegabytes(heapUsed),
				externalMb: toMegabytes(external),
				bufferedMb: toMegabytes(readBufferedBytes()),
			});
		}

		loggedLevel = level;
	};

	const timer = setInterval(() => {
		sampleDelay();
		sampleMemory();
	}, SAMPLE_INTERVAL_MS);
	timer.unref();
	metrics.registerGauge('memory_resident_bytes', () =>
		process.memoryUsage.rss(),
	);
	metrics.registerGauge('memory_resident_peak_bytes', () => peakResidentBytes);
	metrics.registerGauge('memory_limit_bytes', () => memoryBytes);
	metrics.registerGauge('event_loop_delay_seconds', () => delayMs / 1000);
	metrics.registerGauge(
		'event_loop_delay_peak_seconds',
		() => peakDelayMs / 1000,
	);
	return () => {
		clearInterval(timer);
	};
}
