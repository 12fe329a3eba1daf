#!/usr/bin/env node
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {command, flag, oneOf, option, run} from 'cmd-ts';
import {
	measureCommits,
	measureIdle,
	measureRestart,
	type RestartRow,
} from './bench-control.js';
import {
	measureLatency,
	measureMemory,
	measureThroughput,
	type StreamPath,
} from './bench-stream.js';
import {createCluster, type Cluster, type ClusterSpec} from './cluster.js';
import type {BackendSpec} from './cluster-members.js';
import {startProgram} from './program.js';
import {waitFor} from './wait.js';

const LATENCY_STREAMS = 40;
const LATENCY_TOKENS = 60;
const THROUGHPUT_STREAMS = 100;
const THROUGHPUT_TOKENS = 200;
const MEMORY_STREAM_COUNTS = [0, 200, 400, 800];
const MEMORY_SETTLE_TIME_MS = 4000;
const IDLE_MEASUREMENT_MS = 10_000;
const CONTROL_NAMES = ['control-1', 'control-2', 'control-3'];

/** Result tables of one benchmark, by name. */
type BenchTables = Readonly<
	Record<string, ReadonlyArray<Record<string, unknown>>>
>;

function createEngine(
	index: number,
	options: BackendSpec['options'],
): BackendSpec {
	const id = `lyric-${String(index + 1).padStart(2, '0')}`;
	const dataCentre = `london-${'abcd'[index % 4]!}`;
	return {
		kind: 'engine',
		id,
		service: 'lyric-analysis',
		dataCentre,
		options: {
			models: 'lyric-large:2026.11',
			capacity: 4096,
			'slowdown-share': 0,
			'prefill-ms-per-kb': 0,
			...options,
		},
	};
}

async function withCluster<T>(
	spec: Omit<ClusterSpec, 'example'>,
	body: (cluster: Cluster) => Promise<T>,
): Promise<T> {
	const cluster = await createCluster({example: 'verselight', ...spec});
	try {
		await cluster.start();
		await cluster.waitForBackends();
		return await body(cluster);
	} finally {
		await cluster.remove();
	}
}

function createEntryPath(cluster: Cluster): StreamPath {
	const keys = Object.values(cluster.example.customerKeys);
	return {
		name: 'entry',
		url: `${cluster.addresses[0]!}/v1/generations`,
		key: keys[0]!,
		pid: cluster.entries[0]!.getProgram().pid,
		createBody: (requestId, maxTokens) => ({
			requestId,
			service: 'lyric-analysis',
			prompt: 'Summarise the brief.',
			maxTokens,
		}),
	};
}

async function createRelayPath(cluster: Cluster): Promise<StreamPath> {
	const engine = cluster.backends[0]!;
	const relay = startProgram({
		name: 'relay',
		file: 'lovage-fakes/dist/relay-main.js',
		args: ['--target', String(engine.port)],
		outputFile: `${cluster.folder}/relay.log`,
	});
	const port = await waitFor('the relay to print its port', () => {
		const [line] = relay.readOutput().split('\n');
		return line === '' || line === undefined
			? undefined
			: (JSON.parse(line) as {port: number}).port;
	});
	return {
		name: 'bare relay',
		url: `http://127.0.0.1:${port}/v1/generations`,
		key: 'none',
		pid: relay.pid,
		createBody: (generation, maxTokens) => ({
			generation,
			attempt: 1,
			prompt: 'Summarise the brief.',
			maxTokens,
		}),
	};
}

async function withPaths<T>(
	msPerToken: number,
	body: (paths: readonly [StreamPath, StreamPath]) => Promise<T>,
): Promise<T> {
	const spec = {
		entries: 1,
		controls: 3,
		backends: [createEngine(0, {'ms-per-token': msPerToken})],
	};
	return withCluster(spec, async (cluster) => {
		const relay = await createRelayPath(cluster);
		try {
			return await body([relay, createEntryPath(cluster)]);
		} finally {
			process.kill(relay.pid, 'SIGKILL');
		}
	});
}

async function benchStreams(): Promise<BenchTables> {
	const latency = await withPaths(10, async (paths) =>
		measureLatency(paths, LATENCY_STREAMS, LATENCY_TOKENS),
	);
	const throughput = await withPaths(1, async ([relay, entry]) => [
		await measureThroughput(relay, THROUGHPUT_STREAMS, THROUGHPUT_TOKENS),
		await measureThroughput(entry, THROUGHPUT_STREAMS, THROUGHPUT_TOKENS),
	]);
	const memory = await withPaths(1000, async ([, entry]) =>
		measureMemory(entry, MEMORY_STREAM_COUNTS, async () => {
			await delay(MEMORY_SETTLE_TIME_MS);
		}),
	);
	return {latency, throughput, memory};
}

async function benchCommits(): Promise<BenchTables> {
	const spec = {entries: 1, controls: 3, backends: []};
	return withCluster(spec, async (cluster) => ({
		commits: [
			await measureCommits(cluster, 1, 500),
			await measureCommits(cluster, 16, 4000),
			await measureCommits(cluster, 64, 8000),
		],
	}));
}

async function benchIdle(): Promise<BenchTables> {
	const measure = async (entries: number, backends: number) => {
		const engines = Array.from({length: backends}, (_, index) =>
			createEngine(index, {}),
		);
		const relayed = CONTROL_NAMES;
		return withCluster(
			{entries, controls: 3, backends: engines, relayed},
			async (cluster) => measureIdle(cluster, IDLE_MEASUREMENT_MS),
		);
	};

	return {
		rest: [await measure(1, 1), await measure(4, 1), await measure(1, 15)],
	};
}

async function benchRestart(commits: number): Promise<RestartRow> {
	const spec = {entries: 1, controls: 3, backends: []};
	return withCluster(spec, async (cluster) => {
		await measureCommits(cluster, 64, commits);
		return measureRestart(cluster);
	});
}

function roundValue(value: unknown): unknown {
	return typeof value === 'number' ? Number(value.toFixed(2)) : value;
}

function roundRow(row: Record<string, unknown>): Record<string, unknown> {
	return Object.fromEntries(
		Object.entries(row).map(([name, value]) => [name, roundValue(value)]),
	);
}

function printRows(rows: BenchTables, isJson: boolean): void {
	if (isJson) {
		process.stdout.write(`${JSON.stringify(rows, undefined, '\t')}\n`);
		return;
	}

	Object.entries(rows).forEach(([name, table]) => {
		process.stdout.write(`\n${name}\n`);
		console.table(table.map(roundRow));
	});
}

const BENCHMARKS = {
	streams: benchStreams,
	commits: benchCommits,
	rest: benchIdle,
	restart: async (): Promise<BenchTables> => ({
		restart: [await benchRestart(500), await benchRestart(50_000)],
	}),
} as const;

type BenchmarkName = keyof typeof BENCHMARKS;

const BENCHMARK_NAMES = Object.keys(BENCHMARKS) as readonly BenchmarkName[];

const bench = command({
	name: 'bench',
	description: 'Measures the overhead of the programs on loopback.',
	args: {
		part: option({
			long: 'part',
			type: oneOf<'all' | BenchmarkName>(['all', ...BENCHMARK_NAMES]),
			defaultValue: (): 'all' | BenchmarkName => 'all',
		}),
		json: flag({long: 'json'}),
	},
	async handler({part, json}) {
		const names =
			part === 'all' ? (Object.keys(BENCHMARKS) as BenchmarkName[]) : [part];
		await names.reduce<Promise<void>>(async (before, name) => {
			await before;
			printRows(await BENCHMARKS[name](), json);
		}, Promise.resolve());
	},
});

await run(bench, process.argv.slice(2));
