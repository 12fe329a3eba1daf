import {
	mkdirSync,
	readdirSync,
	readFileSync,
	rmSync,
	statSync,
	writeFileSync,
} from 'node:fs';
import path from 'node:path';
import {describe, expect, it} from 'vitest';
import type {Configuration} from '@lovagevalve/inventory';
import {getDataFolder} from '../../cluster-members.js';
import {waitForEntries, type Cluster} from '../../cluster.js';
import type {Member} from '../../member.js';
import {trackGenerations} from '../../tracked-generations.js';
import {waitFor} from '../../wait.js';
import {
	createCalls,
	createEngines,
	expectComplete,
	withCluster,
} from './helpers.js';

const BACKENDS = createEngines(2);

function withQueueLength(cluster: Cluster, queueLength: number): Configuration {
	const {configuration} = cluster.example;
	const limits = {...configuration.rules.limits, queueLength};
	return {...configuration, rules: {...configuration.rules, limits}};
}

async function applyChange(
	cluster: Cluster,
	baseVersion: number,
): Promise<number> {
	const configuration = withQueueLength(cluster, 100 + baseVersion);
	const answer = await cluster.group.apply({baseVersion, configuration});
	expect(answer).toMatchObject({kind: 'accepted', version: baseVersion + 1});
	return baseVersion + 1;
}

async function applyChanges(
	cluster: Cluster,
	baseVersion: number,
	times: number,
): Promise<number> {
	if (times === 0) {
		return baseVersion;
	}

	return applyChanges(
		cluster,
		await applyChange(cluster, baseVersion),
		times - 1,
	);
}

async function findLeader(cluster: Cluster): Promise<Member> {
	const address = await cluster.group.waitForLeader();
	return cluster.controls.find((control) => control.address === address)!;
}

function listFiles(folder: string): readonly string[] {
	return readdirSync(folder, {recursive: true})
		.map((name) => path.join(folder, String(name)))
		.filter((file) => statSync(file).isFile());
}

function corruptFiles(folder: string): void {
	listFiles(folder).forEach((file) => {
		const bytes = readFileSync(file);
		const middle = Math.floor(bytes.length / 2);
		writeFileSync(file, bytes.fill(0x2a, middle, middle + 8));
	});
}

async function waitForReplacementVoter(
	cluster: Cluster,
	member: Member,
	oldReplica: string,
): Promise<void> {
	await waitFor(`${member.name} to vote under a new replica id`, async () => {
		const leader = await cluster.group.waitForLeader();
		const status = await cluster.group.status(leader);
		const voters = status?.members.filter(({voter}) => voter) ?? [];
		return (
			voters.length === 3 &&
			voters.some(
				({address, replica}) =>
					address === member.address && replica !== oldReplica,
			)
		);
	});
}

async function loseDataFolder(
	cluster: Cluster,
	member: Member,
	corrupt: (folder: string) => void,
): Promise<void> {
	const before = await cluster.group.status(member.address);
	await member.getProgram().end('SIGKILL');
	corrupt(getDataFolder(cluster.folder, member.name));
	member.start();
	await waitForReplacementVoter(cluster, member, before!.replica);
}

describe('control instances fail', () => {
	it('keeps streams and accepts changes when the leader is killed', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const generations = trackGenerations(createCalls(cluster, 4));
			await generations.waitForTokens(20);
			const leader = await findLeader(cluster);
			await leader.getProgram().end('SIGKILL');
			const version = await applyChange(cluster, 1);
			await cluster.group.waitForVersion(version);
			expectComplete(await generations.answers);
			leader.start();
			await waitFor('the killed instance to catch up', async () => {
				const status = await cluster.group.status(leader.address);
				return status?.configurationVersion === version;
			});
		});
	});

	it('replaces an isolated leader, which catches up after the partition', async () => {
		const relayed = ['control-1', 'control-2', 'control-3'];
		await withCluster({backends: BACKENDS, relayed}, async (cluster) => {
			const leader = await findLeader(cluster);
			leader.relay!.blackholeAll('both');
			const version = await applyChange(cluster, 1);
			await cluster.group.waitForVersion(version);
			leader.relay!.blackholeAll('none');
			leader.relay!.closeConnections();
			await applyChange(cluster, version);
			await waitFor('the isolated instance to catch up', async () => {
				const status = await cluster.group.status(leader.address);
				return status?.configurationVersion === version + 1;
			});
		});
	});

	it.each([
		[
			'emptied',
			(folder: string) => {
				rmSync(folder, {recursive: true});
				mkdirSync(folder);
			},
		],
		['damaged', corruptFiles],
	] as const)(
		'replaces an instance whose data folder was %s with a new replica, and tolerates a second failure',
		async (_, spoil) => {
			await withCluster({backends: BACKENDS}, async (cluster) => {
				const version = await applyChanges(cluster, 1, 5);
				const leader = await findLeader(cluster);
				const [first, second] = cluster.controls.filter(
					(control) => control !== leader,
				);
				await loseDataFolder(cluster, first!, spoil);
				await second!.getProgram().end('SIGKILL');
				const next = await applyChange(cluster, version);
				await cluster.group.waitForVersion(next);
				const status = await cluster.group.status(first!.address);
				expect(status?.configurationVersion).toBe(next);
			});
		},
	);

	it('restarts after 500 changes with the latest version in force', async () => {
		await withCluster({backends: BACKENDS, entries: 2}, async (cluster) => {
			const version = await applyChanges(cluster, 1, 500);
			await Promise.all(
				[...cluster.controls, ...cluster.entries].map(async (member) =>
					member.getProgram().end('SIGKILL'),
				),
			);
			cluster.controls.forEach(({start}) => start());
			cluster.entries.forEach(({start}) => start());
			await waitForEntries(cluster.entries);
			await cluster.group.waitForVersion(version);
			await applyChange(cluster, version);
		});
	});

	it('accepts one of two conflicting changes, and returns its outcome for a repeated operation', async () => {
		await withCluster({backends: BACKENDS}, async (cluster) => {
			const changes = [200, 300].map((queueLength) => ({
				baseVersion: 1,
				configuration: withQueueLength(cluster, queueLength),
				operationId: `operation-${queueLength}`,
			}));
			const answers = await Promise.all(changes.map(cluster.group.apply));
			const kinds = answers.map(({kind}) => kind).toSorted();
			expect(kinds).toEqual(['accepted', 'conflict']);
			const winner = changes[answers.findIndex((a) => a.kind === 'accepted')]!;
			expect(answers.find((a) => a.kind === 'conflict')).toMatchObject({
				version: 2,
				operationId: winner.operationId,
			});
			expect(await cluster.group.apply(winner)).toMatchObject({
				kind: 'accepted',
				version: 2,
				repeated: true,
			});
		});
	});
});
