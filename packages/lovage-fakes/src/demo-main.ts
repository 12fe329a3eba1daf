#!/usr/bin/env node
import process from 'node:process';
import {callUntilFinal, type ServiceCall} from './caller-calls.js';
import type {GenerationCall} from './caller.js';
import {createCluster, type Cluster} from './cluster.js';
import type {BackendSpec} from './cluster-members.js';
import {formatAnswers, formatCall, formatMetrics} from './demo-report.js';
import type {Member} from './member.js';
import {
	isCompleteAnswer,
	rotate,
	trackGenerations,
	type Answer,
	type TrackedGenerations,
} from './tracked-generations.js';
import {
	findBusiestBackend,
	listAttempts,
	summariseWork,
} from './work-summary.js';

const GENERATION_COUNT = 6;
const MAX_TOKENS = 120;
const MS_PER_TOKEN = 25;
const KILL_ENGINE_AT_TOKEN = 30;
const KILL_ENTRY_AT_TOKEN = 60;
const MAX_SENDS = 20;
const DATA_CENTRES = ['london-a', 'london-b', 'london-c', 'london-d'];

function print(text: string): void {
	process.stdout.write(`${text}\n`);
}

function createBackends(): readonly BackendSpec[] {
	const engines = DATA_CENTRES.map((dataCentre, index): BackendSpec => ({
		kind: 'engine',
		id: `lyric-0${index + 1}`,
		service: 'lyric-analysis',
		dataCentre,
		options: {
			'ms-per-token': MS_PER_TOKEN,
			'progress-every': 1,
			models: 'lyric-large:2026.11',
		},
	}));
	return [
		...engines,
		{
			kind: 'service',
			id: 'licensing-01',
			service: 'licensing',
			dataCentre: 'london-a',
		},
		{
			kind: 'service',
			id: 'catalogue-01',
			service: 'catalogue',
			dataCentre: 'london-c',
		},
	];
}

function createCalls(cluster: Cluster): readonly GenerationCall[] {
	const customers = Object.entries(cluster.example.customerKeys);
	return customers.slice(0, GENERATION_COUNT).map(([customer, key], index) => ({
		entries: rotate(cluster.addresses, index),
		key,
		requestId: `${customer}-brief-${index}`,
		service: 'lyric-analysis',
		prompt: `Summarise clearance ${index} for ${customer}.`,
		maxTokens: MAX_TOKENS,
	}));
}

async function killEngine(cluster: Cluster): Promise<readonly string[]> {
	const records = cluster.readRecords();
	const name = findBusiestBackend(records)!;
	await cluster.findMember(name).getProgram().end('SIGKILL');
	const interrupted = listAttempts(records).filter(
		({backend, state}) => backend === name && state === 'running',
	);
	print(
		`Killed engine ${name} while it ran ${interrupted.length} generations.`,
	);
	return interrupted.map(({prompt}) => prompt);
}

async function killEntry(
	cluster: Cluster,
	generations: TrackedGenerations,
): Promise<readonly string[]> {
	const {calls, findAddress} = generations;
	const address = findAddress(calls[0]!);
	const entry = cluster.entries.find((one) => one.address === address)!;
	const interrupted = calls.filter((call) => findAddress(call) === address);
	await entry.getProgram().end('SIGKILL');
	print(
		`Killed entry ${entry.name} while it streamed ${interrupted.length} answers.`,
	);
	return interrupted.map(({prompt}) => prompt);
}

async function streamWithFailures(
	cluster: Cluster,
): Promise<
	Readonly<{answers: readonly Answer[]; interrupted: readonly string[]}>
> {
	const generations = trackGenerations(createCalls(cluster));
	await generations.waitForTokens(KILL_ENGINE_AT_TOKEN);
	const interruptedByEngine = await killEngine(cluster);
	await generations.waitForTokens(KILL_ENTRY_AT_TOKEN);
	const interruptedByEntry = await killEntry(cluster, generations);
	const answers = await generations.answers;
	return {
		answers,
		interrupted: [...interruptedByEngine, ...interruptedByEntry],
	};
}

async function callServices(cluster: Cluster): Promise<boolean> {
	const key = cluster.example.customerKeys['sync-london']!;
	const grant: ServiceCall = {
		key,
		requestId: 'grant-1',
		service: 'licensing',
		operation: 'grant',
		body: {song: 7, licensee: 'film 12'},
	};
	const lookup: ServiceCall = {
		key,
		requestId: 'lookup-1',
		service: 'catalogue',
		operation: 'lookup',
		body: {song: 7},
	};
	const granted = await callUntilFinal(cluster.addresses, grant, MAX_SENDS);
	const repeated = await callUntilFinal(cluster.addresses, grant, MAX_SENDS);
	const found = await callUntilFinal(cluster.addresses, lookup, MAX_SENDS);
	print('Calls:');
	print(formatCall('licence grant', granted));
	print(formatCall('same grant repeated', repeated));
	print(formatCall('catalogue lookup', found));
	const runs = cluster
		.readRecords()
		.filter((record) => record.kind === 'called')
		.filter(({operation}) => operation === 'grant');
	print(`  the licensing service executed the grant ${runs.length} time(s)`);
	return (
		runs.length === 1 &&
		[granted, repeated, found].every(
			(outcomes) => outcomes.at(-1)?.kind === 'answered',
		)
	);
}

async function stopMembers(members: readonly Member[]): Promise<boolean> {
	const running = members.filter((member) => member.getProgram().isRunning());
	const exits = await Promise.all(
		running.map(async (member) => member.getProgram().end('SIGTERM')),
	);
	const failed = running.filter((_, index) => exits[index]!.code !== 0);
	failed.forEach(({name}) => {
		print(`${name} did not exit with code 0.`);
	});
	return failed.length === 0;
}

async function stopAll(cluster: Cluster): Promise<boolean> {
	const areStopped = [
		await stopMembers(cluster.entries),
		await stopMembers(cluster.backends),
		await stopMembers(cluster.controls),
	].every(Boolean);
	print(
		areStopped
			? 'Stopped all programs with SIGTERM.'
			: 'Not all programs stopped cleanly.',
	);
	return areStopped;
}

async function runDemo(cluster: Cluster): Promise<boolean> {
	await cluster.start();
	print(
		`Started ${cluster.controls.length} control instances, ${cluster.entries.length} entries and ${cluster.backends.length} backend servers.`,
	);
	await cluster.waitForBackends();
	const areCallsCorrect = await callServices(cluster);
	const {answers, interrupted} = await streamWithFailures(cluster);
	const prompts = answers.map(({call}) => call.prompt);
	print(formatAnswers(answers));
	print(
		formatMetrics(
			answers,
			interrupted,
			summariseWork(cluster.readRecords(), prompts),
		),
	);
	const areStopped = await stopAll(cluster);
	const completeCount = answers.filter(isCompleteAnswer).length;
	print(`${completeCount} of ${answers.length} answers are complete.`);
	return completeCount === answers.length && areCallsCorrect && areStopped;
}

const cluster = await createCluster({
	example: 'verselight',
	entries: 3,
	controls: 3,
	backends: createBackends(),
});
try {
	process.exitCode = (await runDemo(cluster)) ? 0 : 1;
} finally {
	await cluster.remove();
}
