import {describe, expect, it} from 'vitest';
import {
	callOnce,
	callUntilSettled,
	type CallOutcome,
	type ServiceCall,
} from '../../caller-calls.js';
import type {Cluster} from '../../cluster.js';
import {waitFor} from '../../wait.js';
import {countRuns, createService, withCluster} from './helpers.js';

const DELAY_MS = 800;
const SENDS = 200;
const BACKENDS = [
	createService('licensing', 1, {'delay-ms': DELAY_MS}),
	createService('catalogue', 1, {'delay-ms': DELAY_MS}),
	createService('catalogue', 2, {'delay-ms': DELAY_MS}),
];

function createGrant(cluster: Cluster, requestId: string): ServiceCall {
	return {
		key: cluster.example.customerKeys['sync-london']!,
		requestId,
		service: 'licensing',
		operation: 'grant',
		body: {song: 7},
	};
}

async function waitForRun(cluster: Cluster, requestId: string): Promise<void> {
	await waitFor(
		`a run of ${requestId}`,
		() => countRuns(cluster, requestId) > 0,
	);
}

function outcomeOf(outcome: CallOutcome | undefined): string | undefined {
	return outcome?.kind === 'refused' ? outcome.problem?.outcome : outcome?.kind;
}

describe('a non-idempotent call', () => {
	it('runs once however often it is sent, and keeps its answer', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const grant = createGrant(cluster, 'grant-1');
			const sends = await Promise.all(
				cluster.addresses.map(async (_, index) =>
					callUntilSettled(
						[...cluster.addresses.slice(index), ...cluster.addresses],
						grant,
						SENDS,
					),
				),
			);
			sends.forEach((outcomes) => {
				expect(outcomes.at(-1)).toMatchObject({
					kind: 'answered',
					answer: {status: 200, body: {requestId: 'grant-1'}},
				});
			});
			expect(countRuns(cluster, 'grant-1')).toBe(1);
			const other = {...grant, body: {song: 8}};
			expect(await callOnce(cluster.addresses[1]!, other)).toMatchObject({
				problem: {type: 'urn:lovagevalve:problem:conflict'},
			});
			expect(countRuns(cluster, 'grant-1')).toBe(1);
		});
	});

	it('runs at most once when its entry is killed in the middle', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const grant = createGrant(cluster, 'grant-2');
			const [entry, ...others] = cluster.entries;
			const sent = callOnce(entry!.address, grant);
			await waitForRun(cluster, 'grant-2');
			await entry!.read().end('SIGKILL');
			expect(await sent).toMatchObject({kind: 'lost'});
			const outcomes = await callUntilSettled(
				others.map(({address}) => address),
				grant,
				SENDS,
			);
			expect(outcomes.map(outcomeOf)).not.toContain('not-run');
			expect(outcomeOf(outcomes.at(-1))).toBe('unknown');
			expect(countRuns(cluster, 'grant-2')).toBe(1);
		});
	});

	it('runs at most once when its service is killed in the middle', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const grant = createGrant(cluster, 'grant-3');
			const service = cluster.find('licensing-01');
			const sent = callOnce(cluster.addresses[0]!, grant);
			await waitForRun(cluster, 'grant-3');
			await service.read().end('SIGKILL');
			expect(outcomeOf(await sent)).toBe('unknown');
			service.start();
			await cluster.waitForBackends();
			const again = await callOnce(cluster.addresses[1]!, grant);
			expect(outcomeOf(again)).toBe('unknown');
			expect(countRuns(cluster, 'grant-3')).toBe(1);
		});
	});

	it('that was refused as "not run" never ran, and runs when sent as the next attempt', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const service = cluster.find('licensing-01');
			await service.read().end('SIGKILL');
			const grant = createGrant(cluster, 'grant-4');
			const refused = await waitFor('a refusal as not run', async () => {
				const outcome = await callOnce(cluster.addresses[0]!, grant);
				return outcomeOf(outcome) === 'not-run' ? outcome : undefined;
			});
			expect(refused.kind).toBe('refused');
			service.start();
			await cluster.waitForBackends();
			expect(outcomeOf(await callOnce(cluster.addresses[1]!, grant))).toBe(
				'not-run',
			);
			expect(countRuns(cluster, 'grant-4')).toBe(0);
			const next = {...grant, attempt: 2};
			const outcomes = await callUntilSettled(cluster.addresses, next, SENDS);
			expect(outcomes.at(-1)?.kind).toBe('answered');
			expect(countRuns(cluster, 'grant-4')).toBe(1);
		});
	});
});

describe('an idempotent call', () => {
	it('comes back from another service when its own is killed', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const lookup: ServiceCall = {
				...createGrant(cluster, 'lookup-1'),
				service: 'catalogue',
				operation: 'lookup',
			};
			const sent = callOnce(cluster.addresses[0]!, lookup);
			await waitForRun(cluster, 'lookup-1');
			const run = cluster.readRecords().find((one) => one.kind === 'called')!;
			await cluster.find(run.backend).read().end('SIGKILL');
			expect(await sent).toMatchObject({kind: 'answered'});
		});
	});
});
