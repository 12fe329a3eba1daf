import {rm} from 'node:fs/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createChange, ControlCluster, waitFor} from './control-cluster.js';

const createClaimRequest = (entry: string, copy?: string) => ({
	customer: 'label',
	requestId: 'grant-1',
	attempt: 1,
	digest: 'body',
	entry,
	incarnation: 'a',
	copy,
	receivedAt: 0,
});

describe('a control group of three processes', () => {
	let cluster: ControlCluster;

	beforeEach(async () => {
		cluster = await ControlCluster.start();
		expect(await cluster.initialise('test')).toEqual({kind: 'initialised'});
		expect(await cluster.apply('first', 0)).toMatchObject({kind: 'accepted'});
	});

	afterEach(async () => {
		await cluster.stop();
	});

	test('continues when its leader is killed, which catches up after a restart', async () => {
		const leader = await cluster.waitForLeader();
		await cluster.stopInstance(leader, 'SIGKILL');
		expect(await cluster.apply('second', 1)).toEqual({
			kind: 'accepted',
			version: 2,
			repeated: false,
		});
		const resent = await cluster.apply('first', 0);
		expect(resent).toEqual({kind: 'accepted', version: 1, repeated: true});
		cluster.startInstance(leader);
		await waitFor('the old leader to catch up', async () => {
			const status = await cluster.status(leader);
			return status?.configurationVersion === 2;
		});
	});

	test('accepts one of two concurrent changes with the same base version', async () => {
		const client = cluster.clients[await cluster.waitForLeader()]!;
		const answers = await Promise.all(
			['left', 'right'].map(async (name) =>
				client.applyConfiguration.mutate(createChange(name, 1)),
			),
		);
		const kinds = answers.map(({kind}) => kind);
		expect(kinds.toSorted()).toEqual(['accepted', 'conflict']);
	});

	test('grants a claim once, also when the leader is killed', async () => {
		const open = async (entry: string, copy?: string) =>
			cluster.callLeader(async (client, signal) =>
				client.openClaim.mutate(createClaimRequest(entry, copy), {signal}),
			);
		const granted = await open('entry-1', 'x');
		expect(granted).toMatchObject({kind: 'granted'});
		await cluster.stopInstance(await cluster.waitForLeader(), 'SIGKILL');
		expect(await open('entry-2', 'y')).toEqual({kind: 'in-progress'});
		expect(await open('entry-1', 'x')).toEqual(granted);
	});

	test('adds an instance with an emptied disk under a new replica ID', async () => {
		const leader = await cluster.waitForLeader();
		const lost = (leader + 1) % 3;
		const before = await cluster.status(lost);
		await cluster.stopInstance(lost, 'SIGKILL');
		await rm(cluster.dataFolder(lost), {recursive: true});
		cluster.startInstance(lost);
		await waitFor('the new replica ID to vote', async () => {
			const status = await cluster.status(leader);
			const voters = status?.members.filter(({voter}) => voter) ?? [];
			return (
				voters.length === 3 &&
				!voters.some(({replica}) => replica === before?.replica)
			);
		});
		await cluster.stopInstance(leader, 'SIGKILL');
		expect(await cluster.apply('second', 1)).toMatchObject({version: 2});
	});

	test('transfers leadership at a planned stop', async () => {
		const leader = await cluster.waitForLeader();
		expect(await cluster.stopInstance(leader, 'SIGTERM')).toBe(0);
		expect(await cluster.apply('second', 1)).toMatchObject({version: 2});
	});

	test('can be initialised once', async () => {
		expect(await cluster.initialise('test')).toEqual({kind: 'initialised'});
		expect(await cluster.initialise('other')).toMatchObject({kind: 'refused'});
	});
});
