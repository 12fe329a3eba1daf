import process from 'node:process';
import {streamOnce} from './caller-connection.js';
import {getPercentile, readCpuMs, readResidentBytes} from './process-usage.js';

const IDLE_TIMEOUT_MS = 30_000;
const MS_PER_SECOND = 1000;

/** Route to an engine, through a plain TCP relay or through an entry. */
export type StreamPath = Readonly<{
	name: string;
	url: string;
	key: string;
	/** Process between the caller and the engine, whose use is measured. */
	pid: number;
	createBody: (id: string, maxTokens: number) => unknown;
}>;

/** Delivery times of the tokens of one stream. */
type StreamTimes = Readonly<{
	firstTokenMs: number;
	gapsMs: readonly number[];
	tokens: number;
}>;

/** Latencies of one path, in milliseconds. */
export type LatencyRow = Readonly<{
	path: string;
	streams: number;
	firstTokenMedianMs: number;
	firstTokenP95Ms: number;
	gapMedianMs: number;
	gapP95Ms: number;
	gapP99Ms: number;
}>;

/** Throughput of one path under concurrent streams. */
export type ThroughputRow = Readonly<{
	path: string;
	streams: number;
	tokens: number;
	tokensPerSecond: number;
	cpuMicrosPerToken: number;
	cpuShare: number;
}>;

/** Memory of the measured process with a number of open streams. */
export type MemoryRow = Readonly<{
	path: string;
	openStreams: number;
	residentBytes: number;
}>;

let streamSequence = 0;

function createId(): string {
	streamSequence += 1;
	return `bench-${process.pid}-${streamSequence}`;
}

async function timeStream(
	path: StreamPath,
	maxTokens: number,
): Promise<StreamTimes> {
	const startedAt = performance.now();
	const arrivals: number[] = [];
	let tokens = 0;
	const end = await streamOnce({
		url: path.url,
		key: path.key,
		body: path.createBody(createId(), maxTokens),
		silenceMs: IDLE_TIMEOUT_MS,
		onMessage(message) {
			if (message.kind === 'tokens') {
				arrivals.push(performance.now());
				tokens += message.tokens.length;
			}
		},
	});
	if (end.kind !== 'ended' || tokens !== maxTokens) {
		throw new Error(
			`${path.name}: received ${tokens} tokens; stream end: ${JSON.stringify(end)}`,
		);
	}

	return {
		firstTokenMs: arrivals[0]! - startedAt,
		gapsMs: arrivals.slice(1).map((at, index) => at - arrivals[index]!),
		tokens,
	};
}

async function repeat<T>(
	times: number,
	run: () => Promise<T>,
): Promise<readonly T[]> {
	if (times === 0) {
		return [];
	}

	const first = await run();
	return [first, ...(await repeat(times - 1, run))];
}

/** Measures sequential streams, alternating between the paths. */
export async function measureLatency(
	paths: readonly StreamPath[],
	streams: number,
	maxTokens: number,
): Promise<readonly LatencyRow[]> {
	const rounds = await repeat(streams, async () =>
		paths.reduce<Promise<readonly StreamTimes[]>>(
			async (before, path) => [
				...(await before),
				await timeStream(path, maxTokens),
			],
			Promise.resolve([]),
		),
	);
	return paths.map((path, index) => {
		const times = rounds.map((round) => round[index]!);
		const first = times.map(({firstTokenMs}) => firstTokenMs);
		const gaps = times.flatMap(({gapsMs}) => gapsMs);
		return {
			path: path.name,
			streams,
			firstTokenMedianMs: getPercentile(first, 0.5),
			firstTokenP95Ms: getPercentile(first, 0.95),
			gapMedianMs: getPercentile(gaps, 0.5),
			gapP95Ms: getPercentile(gaps, 0.95),
			gapP99Ms: getPercentile(gaps, 0.99),
		};
	});
}

/** Measures concurrent streams on one path. */
export async function measureThroughput(
	path: StreamPath,
	streams: number,
	maxTokens: number,
): Promise<ThroughputRow> {
	const cpuBefore = readCpuMs(path.pid);
	const startedAt = performance.now();
	const times = await Promise.all(
		Array.from({length: streams}, async () => timeStream(path, maxTokens)),
	);
	const elapsedMs = performance.now() - startedAt;
	const cpuMs = readCpuMs(path.pid) - cpuBefore;
	const tokens = times.reduce((sum, one) => sum + one.tokens, 0);
	return {
		path: path.name,
		streams,
		tokens,
		tokensPerSecond: (tokens * MS_PER_SECOND) / elapsedMs,
		cpuMicrosPerToken: (cpuMs * MS_PER_SECOND) / tokens,
		cpuShare: cpuMs / elapsedMs,
	};
}

/**
 * Raises the number of open slow streams to each count in turn and reads the
 * memory of the process at each. The streams stay open.
 */
export async function measureMemory(
	path: StreamPath,
	streamCounts: readonly number[],
	settle: () => Promise<void>,
	alreadyOpen = 0,
): Promise<readonly MemoryRow[]> {
	const [streamCount, ...remainingCounts] = streamCounts;
	if (streamCount === undefined) {
		return [];
	}

	const newStreams = Array.from(
		{length: streamCount - alreadyOpen},
		async () => {
			await streamOnce({
				url: path.url,
				key: path.key,
				body: path.createBody(createId(), 1000),
				silenceMs: IDLE_TIMEOUT_MS,
				onMessage() {
					// The tokens are not needed: only memory is measured.
				},
			});
		},
	);
	await settle();
	const row = {
		path: path.name,
		openStreams: streamCount,
		residentBytes: readResidentBytes(path.pid),
	};
	const remainingRows = await measureMemory(
		path,
		remainingCounts,
		settle,
		streamCount,
	);
	void Promise.allSettled(newStreams);
	return [row, ...remainingRows];
}
