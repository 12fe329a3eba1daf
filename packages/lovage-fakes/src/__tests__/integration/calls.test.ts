import {describe, expect, it} from 'vitest';
import {
	callOnce,
	callUntilFinal,
	type CallOutcome,
	type ServiceCall,
} from '../../caller-calls.js';
import type {Cluster} from '../../cluster.js';
import {waitFor} from '../../wait.js';
import {countExecutions, createService, withCluster} from './helpers.js';

const DELAY_MS = 800;
const MAX_SENDS = 200;
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

async function waitForExecution(
	cluster: Cluster,
	requestId: string,
): Promise<void> {
	await waitFor(
		`${requestId} to be executed`,
		() => countExecutions(cluster, requestId) > 0,
	);
}

function getOutcome(outcome: CallOutcome | undefined): string | undefined {
	return outcome?.kind === 'refused' ? outcome.problem?.outcome : outcome?.kind;
}

describe('a non-idempotent call', () => {
	it('is executed once when it is sent repeatedly, and every send gets its answer', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const grant = createGrant(cluster, 'grant-1');
			const sends = await Promise.all(
				cluster.addresses.map(async (_, index) =>
					callUntilFinal(
						[...cluster.addresses.slice(index), ...cluster.addresses],
						grant,
						MAX_SENDS,
					),
				),
			);
			sends.forEach((outcomes) => {
				expect(outcomes.at(-1)).toMatchObject({
					kind: 'answered',
					answer: {status: 200, body: {requestId: 'grant-1'}},
				});
			});
			expect(countExecutions(cluster, 'grant-1')).toBe(1);
			const other = {...grant, body: {song: 8}};
			expect(await callOnce(cluster.addresses[1]!, other)).toMatchObject({
				problem: {type: 'urn:lovagevalve:problem:conflict'},
			});
			expect(countExecutions(cluster, 'grant-1')).toBe(1);
		});
	});

	it('is executed at most once when its entry is killed during the call', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const grant = createGrant(cluster, 'grant-2');
			const [entry, ...others] = cluster.entries;
			const sent = callOnce(entry!.address, grant);
			await waitForExecution(cluster, 'grant-2');
			await entry!.getProgram().end('SIGKILL');
			expect(await sent).toMatchObject({kind: 'lost'});
			const outcomes = await callUntilFinal(
				others.map(({address}) => address),
				grant,
				MAX_SENDS,
			);
			expect(outcomes.map(getOutcome)).not.toContain('not-run');
			expect(getOutcome(outcomes.at(-1))).toBe('unknown');
			expect(countExecutions(cluster, 'grant-2')).toBe(1);
		});
	});

	it('is executed at most once when its service is killed during the call', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const grant = createGrant(cluster, 'grant-3');
			const service = cluster.findMember('licensing-01');
			const sent = callOnce(cluster.addresses[0]!, grant);
			await waitForExecution(cluster, 'grant-3');
			await service.getProgram().end('SIGKILL');
			expect(getOutcome(await sent)).toBe('unknown');
			service.start();
			await cluster.waitForBackends();
			const again = await callOnce(cluster.addresses[1]!, grant);
			expect(getOutcome(again)).toBe('unknown');
			expect(countExecutions(cluster, 'grant-3')).toBe(1);
		});
	});

	it('that was refused as "not run" is executed only when sent as the next attempt', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const service = cluster.findMember('licensing-01');
			await service.getProgram().end('SIGKILL');
			const grant = createGrant(cluster, 'grant-4');
			const refused = await waitFor(
				'the call to be refused as not run',
				async () => {
					const outcome = await callOnce(cluster.addresses[0]!, grant);
					return getOutcome(outcome) === 'not-run' ? outcome : undefined;
				},
			);
			expect(refused.kind).toBe('refused');
			service.start();
			await cluster.waitForBackends();
			expect(getOutcome(await callOnce(cluster.addresses[1]!, grant))).toBe(
				'not-run',
			);
			expect(countExecutions(cluster, 'grant-4')).toBe(0);
			const next = {...grant, attempt: 2};
			const outcomes = await callUntilFinal(cluster.addresses, next, MAX_SENDS);
			expect(outcomes.at(-1)?.kind).toBe('answered');
			expect(countExecutions(cluster, 'grant-4')).toBe(1);
		});
	});
});

describe('an idempotent call', () => {
	it('is answered by another service when its own is killed', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const lookup: ServiceCall = {
				...createGrant(cluster, 'lookup-1'),
				service: 'catalogue',
				operation: 'lookup',
			};
			const sent = callOnce(cluster.addresses[0]!, lookup);
			await waitForExecution(cluster, 'lookup-1');
			const run = cluster.readRecords().find((one) => one.kind === 'called')!;
			await cluster.findMember(run.backend).getProgram().end('SIGKILL');
			expect(await sent).toMatchObject({kind: 'answered'});
		});
	});
});
