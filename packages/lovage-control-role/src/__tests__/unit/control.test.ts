import {describe, expect, test} from 'vitest';
import {type ControlInput, decodeStateMachine} from '../../index.js';
import {
	createApply,
	createConfiguration,
	createRenew,
	Group,
	settings,
} from './group.js';

const createOpenClaim = (entry: string): ControlInput => ({
	kind: 'claim',
	command: {
		kind: 'open',
		request: {
			customer: 'label',
			requestId: 'grant-1',
			attempt: 1,
			digest: 'body',
			entry,
			incarnation: 'a',
		},
	},
});

const progress: ControlInput = {kind: 'progress'};

describe('configuration', () => {
	test('accepts only one of two changes with the same base version', () => {
		const group = new Group(3);
		const first = group.sendRequest(group.leader!, createApply('first', 0));
		const second = group.sendRequest(group.leader!, createApply('second', 0));
		expect(group.waitForAnswer(first)).toEqual({
			kind: 'accepted',
			version: 1,
			repeated: false,
		});
		expect(group.waitForAnswer(second)).toMatchObject({
			kind: 'conflict',
			version: 1,
			operationId: 'first',
		});
	});

	test('answers a retry with the first outcome, also after later changes', () => {
		const group = new Group(3);
		group.call(createApply('first', 0));
		group.call(createApply('second', 1));
		expect(group.call(createApply('first', 0))).toEqual({
			kind: 'accepted',
			version: 1,
			repeated: true,
		});
		const other = createConfiguration('other');
		expect(group.call(createApply('first', 2, other))).toMatchObject({
			kind: 'conflict',
		});
	});

	test('rejects a key that belongs to no operator of the current version', () => {
		const group = new Group(1);
		const keyHash = `sha256:${'b'.repeat(64)}`;
		const configuration = createConfiguration('first');
		const applyWithKey = (baseVersion: number) =>
			group.call(
				createApply(`op-${baseVersion}`, baseVersion, configuration, keyHash),
			);
		expect(applyWithKey(0)).toEqual({kind: 'forbidden'});
		group.call(createApply('first', 0));
		expect(applyWithKey(1)).toEqual({kind: 'forbidden'});
	});

	test('redirects a request on a follower to the leader', () => {
		const group = new Group(3);
		group.advanceTime(500);
		const other = group.states.findIndex((_, i) => i !== group.leader);
		expect(
			group.waitForAnswer(group.sendRequest(other, createApply('first', 0))),
		).toEqual({
			kind: 'not-leader',
			leader: `http://127.0.0.1:${group.leader! + 1}`,
		});
	});

	test('stores the configuration version in snapshots', () => {
		const group = new Group(3);
		Array.from({length: 60}).forEach((_, i) => {
			group.call(createApply(`change-${i}`, i));
		});
		const {snapshot} = group.states[group.leader!]!.raft;
		expect(decodeStateMachine(snapshot!.data).version).toBeGreaterThan(30);
	});
});

describe('leases', () => {
	test('an isolated leader renews no lease and serves no stale read', () => {
		const group = new Group(3);
		group.call(createApply('first', 0));
		const old = group.leader!;
		group.isolated.add(old);
		const renewal = group.sendRequest(old, createRenew('entry-1', 1));
		const read = group.sendRequest(old, {kind: 'read-configuration'});
		group.call(createApply('second', 1));
		expect(group.waitForAnswer(renewal)).toEqual({kind: 'not-leader'});
		expect(group.waitForAnswer(read)).toEqual({kind: 'not-leader'});
		expect(group.call({kind: 'read-configuration'})).toMatchObject({
			version: 2,
		});
	});

	test('a version is in force when each lease has reached it or expired', () => {
		const group = new Group(3);
		group.call(createApply('first', 0));
		group.advanceTime(settings.lease.leaseMs * 2);
		expect(group.call(progress)).toMatchObject({inForceEverywhere: true});
		group.call(createRenew('entry-1', 0));
		expect(group.call(progress)).toMatchObject({inForceEverywhere: false});
		group.call(createRenew('entry-1', 1));
		expect(group.call(progress)).toMatchObject({inForceEverywhere: true});
		group.call(createRenew('entry-2', 0));
		group.advanceTime(settings.lease.leaseMs);
		expect(group.call(progress)).toMatchObject({inForceEverywhere: false});
		group.runUntil(() => {
			const report = group.call(progress);
			return report.kind === 'progress' && report.inForceEverywhere;
		});
	});

	test('a new leader waits until leases of its predecessor have expired', () => {
		const group = new Group(3);
		group.call(createApply('first', 0));
		group.advanceTime(settings.lease.leaseMs * 2);
		group.call(createRenew('entry-1', 0));
		group.isolated.add(group.leader!);
		group.runUntil(() => group.leader !== undefined);
		expect(group.call(progress)).toMatchObject({
			inForceEverywhere: false,
			entries: [],
		});
		group.runUntil(() => {
			const report = group.call(progress);
			return report.kind === 'progress' && report.inForceEverywhere;
		});
	});

	test('lists the entries and sends the configuration to outdated ones', () => {
		const group = new Group(1);
		group.call(createApply('first', 0));
		group.call(createRenew('entry-1', 1));
		const behind = group.call(createRenew('entry-2', 0));
		expect(behind).toMatchObject({
			kind: 'granted',
			version: 1,
			configuration: {inventory: {name: 'first'}},
			entries: [{id: 'entry-1'}, {id: 'entry-2'}],
		});
		expect(group.call(createRenew('entry-2', 1))).not.toHaveProperty(
			'configuration.inventory',
		);
	});
});

describe('claims', () => {
	test('a granted claim survives the loss of the leader', () => {
		const group = new Group(3);
		expect(group.call(createOpenClaim('entry-1'))).toMatchObject({
			kind: 'granted',
		});
		group.isolated.add(group.leader!);
		expect(group.call(createOpenClaim('entry-2'))).toEqual({
			kind: 'in-progress',
		});
	});

	test('a claim becomes unknown only after its holder may no longer write', () => {
		const group = new Group(1);
		group.call(createOpenClaim('entry-1'));
		group.advanceTime(settings.claimHoldMs);
		expect(group.call(createOpenClaim('entry-2'))).toEqual({
			kind: 'in-progress',
		});
		group.runUntil(() => {
			const {kind} = group.call(createOpenClaim('entry-2'));
			return kind === 'unknown';
		});
	});
});

describe('quarantine', () => {
	test('is replicated, evaluated after its window and sent to entries', () => {
		const group = new Group(3);
		const report = (incarnation: number): ControlInput => ({
			kind: 'report-deaths',
			deaths: [
				{
					backend: 'engine-1',
					incarnation,
					dataCentre: 'dc-1',
					digests: ['killer'],
				},
			],
			completed: [],
		});
		const reportDeath = (incarnation: number) => {
			const answer = group.call(report(incarnation));
			expect(answer).toMatchObject({kind: 'taken'});
			group.advanceTime(20_000);
		};

		reportDeath(1);
		group.isolated.add(group.leader!);
		reportDeath(2);
		reportDeath(3);
		expect(group.call(createRenew('entry-1', 0))).toMatchObject({
			quarantine: {convicted: ['killer']},
		});
	});
});
