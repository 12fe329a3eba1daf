import {describe, expect, it} from 'vitest';
import type {Cluster} from '../../cluster.js';
import type {GenerationCall} from '../../caller.js';
import {
	trackGenerations,
	type TrackedGenerations,
} from '../../tracked-generations.js';
import {
	createCalls,
	createEngines,
	expectComplete,
	findAttempts,
	withCluster,
} from './helpers.js';

const BACKENDS = createEngines(3);

function findServingEntry(cluster: Cluster, generations: TrackedGenerations) {
	const address = generations.findAddress(generations.calls[0]!);
	return cluster.entries.find((entry) => entry.address === address)!;
}

function expectOneAttemptEach(
	cluster: Cluster,
	calls: readonly GenerationCall[],
): void {
	calls.forEach((call) => {
		expect(findAttempts(cluster, call)).toMatchObject([
			{state: 'done', produced: call.maxTokens},
		]);
	});
}

describe('an entry fails during streams', () => {
	it('resumes the same generations at another entry after SIGKILL', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const generations = trackGenerations(createCalls(cluster, 6));
			await generations.waitForTokens(20);
			await findServingEntry(cluster, generations).getProgram().end('SIGKILL');
			expectComplete(await generations.answers);
			expectOneAttemptEach(cluster, generations.calls);
		});
	});

	it('loses no tokens when an entry pauses and continues', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const calls = createCalls(cluster, 6, {silenceMs: 1500, maxTokens: 250});
			const generations = trackGenerations(calls);
			await generations.waitForTokens(20);
			const entry = findServingEntry(cluster, generations).getProgram();
			entry.signal('SIGSTOP');
			await generations.waitForTokens(60);
			entry.signal('SIGCONT');
			expectComplete(await generations.answers);
			expectOneAttemptEach(cluster, calls);
		});
	});

	it('joins the running generation when a caller sends the request id without a cursor', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const [call] = createCalls(cluster, 1);
			const first = trackGenerations([
				{...call!, heldAddresses: [cluster.addresses[0]!], giveUpMs: 1},
			]);
			await first.waitForTokens(20);
			await cluster.entries[0]!.getProgram().end('SIGKILL');
			const second = trackGenerations([
				{...call!, heldAddresses: cluster.addresses.slice(1)},
			]);
			expectComplete(await second.answers);
			expectOneAttemptEach(cluster, second.calls);
			await first.answers;
		});
	});

	it('completes the streams when connections between entries and callers are blackholed', async () => {
		const relayed = ['entry-1', 'entry-2', 'entry-3'];
		await withCluster({backends: BACKENDS, relayed}, async (cluster) => {
			const calls = createCalls(cluster, 4, {silenceMs: 1000});
			const generations = trackGenerations(calls);
			await generations.waitForTokens(20);
			cluster.entries.forEach(({relay}) => {
				relay!.blackholeOpen('both');
			});
			expectComplete(await generations.answers);
			expectOneAttemptEach(cluster, calls);
		});
	});
});
