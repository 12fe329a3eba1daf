import process from 'node:process';
import {streamOnce} from './caller-connection.js';
import {getPercentile, readCpuMs, readResidentBytes} from './process-usage.js';

const IDLE_TIMEOUT_MS = 30_000;
const MS_PER_SECOND = 1000;

/** A way to an engine: through a bare relay, or through an entry. */
export type StreamPath = Readonly<{
	name: string;
	url: string;
	key: string;
	/** Process between the caller and the engine. */
	pid: number;
	createBody: (id: string, maxTokens: number) => unknown;
}>;

/** When a stream's tokens came. */
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

/** Throughput of one path with many streams at once. */
export type ThroughputRow = Readonly<{
	path: string;
	streams: number;
	tokens: number;
	tokensPerSecond: number;
	cpuMicrosPerToken: number;
	cpuShare: number;
}>;

/** Memory of the process of one path. */
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
		throw new Error(`${path.name}: ${tokens} tokens, ${JSON.stringify(end)}`);
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

/** Measures one stream after the other on each path in turn. */
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

/** Measures many streams at once on one path. */
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
 * Opens slow streams up to each number in turn and reads the memory there. The
 * streams stay open.
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
					// Only the memory of the process in between is measured.
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
