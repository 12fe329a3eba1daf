import {describe, expect, it} from 'vitest';
import type {GenerationCall} from '../../caller.js';
import type {Cluster} from '../../cluster.js';
import {trackGenerations} from '../../tracked-generations.js';
import {waitFor} from '../../wait.js';
import {findBusiestBackend, type AttemptSummary} from '../../work-summary.js';
import {
	createCalls,
	createEngines,
	expectComplete,
	findAttempts,
	withCluster,
} from './helpers.js';

const BACKENDS = createEngines(3);

function findBusiestEngine(cluster: Cluster) {
	return cluster.findMember(findBusiestBackend(cluster.readRecords())!);
}

function listAbandonedAttempts(
	cluster: Cluster,
	calls: readonly GenerationCall[],
): readonly AttemptSummary[] {
	return calls.flatMap((call) => findAttempts(cluster, call).slice(0, -1));
}

function areAllCancelled(attempts: readonly AttemptSummary[]): boolean {
	return attempts.every(({state}) => state === 'cancelled');
}

describe('an engine fails during streams', () => {
	it('continues from the delivered tokens on another engine after SIGKILL', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const generations = trackGenerations(createCalls(cluster, 6));
			await generations.waitForTokens(20);
			const engine = findBusiestEngine(cluster);
			await engine.getProgram().end('SIGKILL');
			expectComplete(await generations.answers);
			const failedOver = generations.calls
				.map((call) => findAttempts(cluster, call))
				.filter(([first]) => first!.backend === engine.name);
			expect(failedOver.length).toBeGreaterThan(0);
			failedOver.forEach((attempts) => {
				expect(attempts).toHaveLength(2);
				expect(attempts[1]!.prefixLength).toBeGreaterThanOrEqual(20);
			});
		});
	});

	it('fails over after SIGSTOP and cancels the abandoned attempts after SIGCONT', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const calls = createCalls(cluster, 6, {maxTokens: 300});
			const generations = trackGenerations(calls);
			await generations.waitForTokens(20);
			const engine = findBusiestEngine(cluster);
			engine.getProgram().signal('SIGSTOP');
			await waitFor(
				'a new attempt on another engine',
				() => listAbandonedAttempts(cluster, calls).length > 0,
			);
			engine.getProgram().signal('SIGCONT');
			expectComplete(await generations.answers);
			await waitFor('the abandoned attempts to be cancelled', () =>
				areAllCancelled(listAbandonedAttempts(cluster, calls)),
			);
			const produced = listAbandonedAttempts(cluster, calls).map(
				(attempt) => attempt.produced,
			);
			expect(Math.max(...produced)).toBeLessThan(300);
		});
	});

	it('resumes the same attempts when open connections are blackholed', async () => {
		const relayed = BACKENDS.map(({id}) => id);
		await withCluster({backends: BACKENDS, relayed}, async (cluster) => {
			const generations = trackGenerations(createCalls(cluster, 6));
			await generations.waitForTokens(20);
			cluster.backends.forEach(({relay}) => {
				relay!.blackholeOpen('both');
			});
			expectComplete(await generations.answers);
			generations.calls.forEach((call) => {
				expect(findAttempts(cluster, call)).toMatchObject([
					{state: 'done', produced: 150},
				]);
			});
		});
	});
});
