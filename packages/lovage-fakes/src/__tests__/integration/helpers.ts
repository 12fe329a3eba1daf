import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {expect} from 'vitest';
import type {GenerationCall} from '../../caller.js';
import {createCluster, type Cluster, type ClusterSpec} from '../../cluster.js';
import type {BackendSpec} from '../../cluster-members.js';
import {findTranscriptFault} from '../../tokens.js';
import {rotate, type Answer} from '../../tracked-generations.js';
import {listAttempts, type AttemptSummary} from '../../work-summary.js';

const DATA_CENTRES = ['london-a', 'london-b', 'london-c', 'london-d'];
const MAX_PRINTED_LOG_CHARACTERS = 4000;

type BackendOptions = BackendSpec['options'];

/** Creates engines of the Verselight example, distributed over its data centres. */
export function createEngines(
	count: number,
	options: BackendOptions = {},
): readonly BackendSpec[] {
	return Array.from({length: count}, (_, index) => ({
		kind: 'engine',
		id: `lyric-0${index + 1}`,
		service: 'lyric-analysis',
		dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
		rack: `${DATA_CENTRES[index % DATA_CENTRES.length]!}-r${1 + Math.floor(index / DATA_CENTRES.length)}`,
		options: {models: 'lyric-large:2026.11', ...options},
	}));
}

/** Creates a plain service of the Verselight example. */
export function createService(
	service: 'licensing' | 'catalogue',
	index: number,
	options: BackendOptions = {},
): BackendSpec {
	const dataCentre = DATA_CENTRES[index - 1]!;
	const id = `${service}-0${index}`;
	return {kind: 'service', id, service, dataCentre, options};
}

function printLogs({folder, controls, entries}: Cluster): void {
	[...controls, ...entries].forEach(({name}) => {
		const file = path.join(folder, `${name}.log`);
		const log = existsSync(file) ? readFileSync(file, 'utf8') : '(not started)';
		console.error(`--- last lines of the log of ${name}`);
		console.error(log.slice(-MAX_PRINTED_LOG_CHARACTERS));
	});
}

/** Runs `body` against a new cluster and removes the cluster afterwards. */
export async function withCluster(
	spec: Partial<ClusterSpec> & Pick<ClusterSpec, 'backends'>,
	body: (cluster: Cluster) => Promise<void>,
): Promise<void> {
	const cluster = await createCluster({
		example: 'verselight',
		entries: 3,
		controls: 3,
		...spec,
	});
	try {
		await cluster.start();
		await cluster.waitForBackends();
		await body(cluster);
	} catch (error) {
		printLogs(cluster);
		throw error;
	} finally {
		await cluster.remove();
	}
}

/** Creates generation calls with different customers and prompts. */
export function createCalls(
	cluster: Cluster,
	count: number,
	overrides: Partial<GenerationCall> = {},
): readonly GenerationCall[] {
	const keys = Object.values(cluster.example.customerKeys);
	return Array.from({length: count}, (_, index) => ({
		entries: rotate(cluster.addresses, index),
		key: keys[index % keys.length]!,
		requestId: `brief-${index}`,
		service: 'lyric-analysis',
		prompt: `Summarise clearance ${index}.`,
		maxTokens: 150,
		...overrides,
	}));
}

/** Expects every answer to be complete and from a single run. */
export function expectComplete(answers: readonly Answer[]): void {
	const summaries = answers.map(({call, transcript}) => ({
		requestId: call.requestId,
		outcome: transcript.outcome,
		problem: transcript.problem?.detail,
		faults: transcript.faults,
		count: transcript.tokens.length,
		firstWrong: findTranscriptFault(call.prompt, transcript.tokens),
	}));
	const expected = answers.map(({call}) => ({
		requestId: call.requestId,
		outcome: 'whole',
		problem: undefined,
		faults: [],
		count: call.maxTokens,
		firstWrong: undefined,
	}));
	expect(summaries).toEqual(expected);
}

/** Returns the attempts that the engines recorded for a call. */
export function findAttempts(
	cluster: Cluster,
	{prompt}: GenerationCall,
): readonly AttemptSummary[] {
	return listAttempts(cluster.readRecords()).filter(
		(attempt) => attempt.prompt === prompt,
	);
}

/** Counts the executions of a call that the plain services recorded. */
export function countExecutions(cluster: Cluster, requestId: string): number {
	return cluster
		.readRecords()
		.filter((one) => one.kind === 'called' && one.requestId === requestId)
		.length;
}
