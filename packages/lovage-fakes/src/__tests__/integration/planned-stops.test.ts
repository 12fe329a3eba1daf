import {describe, expect, it} from 'vitest';
import type {Cluster} from '../../cluster.js';
import {isResponding} from '../../entry-status.js';
import type {Member} from '../../member.js';
import {trackGenerations, type Answer} from '../../tracked-generations.js';
import {waitFor} from '../../wait.js';
import {
	createCalls,
	createEngines,
	expectComplete,
	findAttempts,
	withCluster,
} from './helpers.js';

/** Time within which all entries stop sending work to a leaving engine. */
const DRAIN_PROPAGATION_MS = 3000;

async function waitForResponse({name, address}: Member): Promise<void> {
	await waitFor(`${name} to respond to a health check`, async () =>
		isResponding(address),
	);
}

async function restartInTurn(
	members: readonly Member[],
	afterRestart: (member: Member) => Promise<void>,
): Promise<void> {
	const [member, ...others] = members;
	if (member === undefined) {
		return;
	}

	const exit = await member.getProgram().end('SIGTERM');
	expect({name: member.name, ...exit}).toEqual({
		name: member.name,
		code: 0,
		signal: undefined,
	});
	member.start();
	await afterRestart(member);
	await restartInTurn(others, afterRestart);
}

function expectNoLostConnections(answers: readonly Answer[]): void {
	const ends = answers.flatMap(({transcript}) =>
		transcript.connections.map(({end}) => end),
	);
	expect(ends.filter(({kind}) => kind === 'lost')).toEqual([]);
}

async function startLongStreams(cluster: Cluster, maxTokens: number) {
	const calls = createCalls(cluster, 5, {maxTokens});
	const generations = trackGenerations(calls);
	await generations.waitForTokens(10);
	return generations;
}

describe('a planned restart or stop', () => {
	it('of each control instance in turn interrupts no connection', async () => {
		await withCluster({backends: createEngines(2)}, async (cluster) => {
			const generations = await startLongStreams(cluster, 250);
			await restartInTurn(cluster.controls, async (member) => {
				await waitForResponse(member);
				await cluster.group.waitForLeader();
			});
			const answers = await generations.answers;
			expectComplete(answers);
			expectNoLostConnections(answers);
		});
	});

	it('of an entry interrupts no connection, even for callers with a cached address', async () => {
		await withCluster({backends: createEngines(2)}, async (cluster) => {
			const running = await startLongStreams(cluster, 250);
			const [entry] = cluster.entries;
			const exited = entry!.getProgram().end('SIGTERM');
			const stale = trackGenerations(
				createCalls(cluster, 5, {
					heldAddresses: cluster.addresses,
					maxTokens: 50,
				}).map((call) => ({...call, requestId: `stale-${call.requestId}`})),
			);
			const answers = [...(await running.answers), ...(await stale.answers)];
			expectComplete(answers);
			expectNoLostConnections(answers);
			expect(await exited).toEqual({code: 0, signal: undefined});
		});
	});

	it('of an engine completes its work, and no new work starts after a few seconds', async () => {
		const backends = createEngines(2, {'linger-ms': 6000});
		await withCluster({backends}, async (cluster) => {
			const running = await startLongStreams(cluster, 100);
			const [engine] = cluster.backends;
			const exited = engine!.getProgram().end('SIGTERM');
			const later = trackGenerations(
				createCalls(cluster, 5, {maxTokens: 200}).map((call) => ({
					...call,
					requestId: `later-${call.requestId}`,
				})),
			);
			const answers = [...(await running.answers), ...(await later.answers)];
			const last = trackGenerations(
				createCalls(cluster, 5, {maxTokens: 20}).map((call) => ({
					...call,
					requestId: `last-${call.requestId}`,
				})),
			);
			expectComplete([...answers, ...(await last.answers)]);
			expectNoLostConnections(answers);
			expect(await exited).toEqual({code: 0, signal: undefined});
			const records = cluster
				.readRecords()
				.filter(({backend}) => backend === engine!.name);
			const leftAt = records.find(({kind}) => kind === 'leaving')!.at;
			const startedLate = records.filter(
				({kind, at}) =>
					kind === 'started' && at > leftAt + DRAIN_PROPAGATION_MS,
			);
			expect(startedLate).toEqual([]);
			running.calls
				.flatMap((call) => findAttempts(cluster, call))
				.forEach(({state}) => {
					expect(state).toBe('done');
				});
		});
	});
});
