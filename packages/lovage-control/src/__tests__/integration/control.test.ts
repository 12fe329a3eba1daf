import {rm} from 'node:fs/promises';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createChange, Processes, waitFor} from './processes.js';

const createOpen = (entry: string, copy?: string) => ({
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
	let group: Processes;

	beforeEach(async () => {
		group = await Processes.start();
		expect(await group.found('test')).toEqual({kind: 'initialised'});
		expect(await group.apply('first', 0)).toMatchObject({kind: 'accepted'});
	});

	afterEach(async () => {
		await group.stop();
	});

	test('goes on when its leader is killed, which catches up later', async () => {
		const leader = await group.waitForLeader();
		await group.end(leader, 'SIGKILL');
		expect(await group.apply('second', 1)).toEqual({
			kind: 'accepted',
			version: 2,
			repeated: false,
		});
		const resent = await group.apply('first', 0);
		expect(resent).toEqual({kind: 'accepted', version: 1, repeated: true});
		group.run(leader);
		await waitFor('the old leader to catch up', async () => {
			const status = await group.status(leader);
			return status?.configurationVersion === 2;
		});
	});

	test('accepts one of two changes with equal numbers', async () => {
		const client = group.clients[await group.waitForLeader()]!;
		const answers = await Promise.all(
			['left', 'right'].map(async (name) =>
				client.applyConfiguration.mutate(createChange(name, 1)),
			),
		);
		const kinds = answers.map(({kind}) => kind);
		expect(kinds.toSorted()).toEqual(['accepted', 'conflict']);
	});

	test('grants a request once, also when its leader is killed', async () => {
		const open = async (entry: string, copy?: string) =>
			group.ask(async (client, signal) =>
				client.openClaim.mutate(createOpen(entry, copy), {signal}),
			);
		const granted = await open('entry-1', 'x');
		expect(granted).toMatchObject({kind: 'granted'});
		await group.end(await group.waitForLeader(), 'SIGKILL');
		expect(await open('entry-2', 'y')).toEqual({kind: 'in-progress'});
		expect(await open('entry-1', 'x')).toEqual(granted);
	});

	test('takes an emptied disk in under a new identity', async () => {
		const leader = await group.waitForLeader();
		const lost = (leader + 1) % 3;
		const before = await group.status(lost);
		await group.end(lost, 'SIGKILL');
		await rm(group.dataFolder(lost), {recursive: true});
		group.run(lost);
		await waitFor('the new identity to vote', async () => {
			const status = await group.status(leader);
			const voters = status?.members.filter(({voter}) => voter) ?? [];
			return (
				voters.length === 3 &&
				!voters.some(({replica}) => replica === before?.replica)
			);
		});
		await group.end(leader, 'SIGKILL');
		expect(await group.apply('second', 1)).toMatchObject({version: 2});
	});

	test('hands over the lead at a planned stop', async () => {
		const leader = await group.waitForLeader();
		expect(await group.end(leader, 'SIGTERM')).toBe(0);
		expect(await group.apply('second', 1)).toMatchObject({version: 2});
	});

	test('can be founded once', async () => {
		expect(await group.found('test')).toEqual({kind: 'initialised'});
		expect(await group.found('other')).toMatchObject({kind: 'refused'});
	});
});
