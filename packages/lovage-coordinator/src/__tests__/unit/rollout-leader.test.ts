import type {EntryReport} from '@lovagevalve/dispatch';
import type {RolloutCounts} from '@lovagevalve/rollout';
import {beforeEach, expect, it} from 'vitest';
import {createRolloutCounts} from '../../rollout-counts.js';
import {createRolloutLeader, type RolloutLeader} from '../../rollout-leader.js';
import {
	applyEntry,
	EMPTY_GROUP_STATE,
	type GroupState,
} from '../../state-machine.js';
import {READY_RECORD, silentLogger} from './test-registry.js';

const SETTINGS = {
	exposeShare: 0.1,
	exposeSlack: 50,
	rollbackMs: 5000,
	contactMs: 4000,
	ackMs: 5000,
};
const TICK_MS = 200;
/** Class of a response of 16 ms. */
const USUAL = 8;

let now = 0;
let state: GroupState = EMPTY_GROUP_STATE;
let silent: readonly string[] = [];
let isLeader = true;
let counts = createRolloutCounts({now: () => now});
let leader: RolloutLeader;

function createLeader(): RolloutLeader {
	counts = createRolloutCounts({now: () => now});
	return createRolloutLeader({
		clock: {now: () => now, wall: () => now},
		log: silentLogger,
		metrics: {count: () => undefined},
		replica: {
			readState: () => state,
			isLeader: () => isLeader,
			async propose(command) {
				const index = state.appliedIndex + 1;
				const data = JSON.stringify(command);
				state = applyEntry(state, {index, term: 1, kind: 'command', data});
				return 'committed';
			},
		},
		registry: {
			listSilent: () => silent,
			listBackends: () =>
				['v1', 'v1', 'v2'].map((softwareVersion, i) => ({
					...READY_RECORD,
					id: `e-${i}`,
					service: 's',
					softwareVersion,
					ageMs: 0,
				})),
		},
		counts,
		settings: SETTINGS,
	});
}

beforeEach(() => {
	now = 0;
	state = EMPTY_GROUP_STATE;
	silent = [];
	isLeader = true;
	leader = createLeader();
});

async function tick(times: number): Promise<void> {
	for (let i = 0; i < times; i += 1) {
		now += TICK_MS;
		// eslint-disable-next-line no-await-in-loop -- ticks follow each other
		await leader.tick();
	}
}

function order(): void {
	const data = JSON.stringify({
		kind: 'rollout-order',
		service: 's',
		to: 'v2',
		durationMs: 60_000,
	});
	const index = state.appliedIndex + 1;
	state = applyEntry(state, {index, term: 1, kind: 'command', data});
}

function report(
	entry: string,
	service: Partial<RolloutCounts>,
	revision = state.rolloutRevision,
): void {
	counts.applyReport({
		entry,
		rollouts: {
			revision,
			counts: {
				s: {
					to: 'v2',
					total: 0,
					exposed: 0,
					oldRunning: 0,
					routes: {},
					...service,
				},
			},
		},
	} satisfies Pick<EntryReport, 'entry' | 'rollouts'>);
}

function respond(failed: number, good: number): readonly number[] {
	return [failed, ...Array.from({length: USUAL}, () => 0), good];
}

function readOrder(): NonNullable<
	ReturnType<GroupState['rollouts']['get']>
>['order'] {
	return state.rollouts.get('s')?.order;
}

it('records the version of most servers as the first one', async () => {
	await tick(20);
	expect(state.rollouts.get('s')?.current).toBe('v1');
	expect(state.rollouts.get('s')?.allowed).toEqual(['v1']);
});

it('reverts an order by what several entries counted together', async () => {
	order();
	await tick(5);
	for (let i = 1; i <= 8; i += 1) {
		['a', 'b'].forEach((entry) => {
			report(entry, {
				total: 30 * i,
				exposed: i,
				routes: {get: [respond(i, 0), respond(0, 29 * i)]},
			});
		});
		// eslint-disable-next-line no-await-in-loop -- ticks follow each other
		await tick(1);
	}

	expect(readOrder()?.stage).toBe('reverted');
	expect(state.rollouts.get('s')?.allowed).not.toContain('v2');
});

it('grows no share while an entry is silent, and decides nothing where it does not lead', async () => {
	order();
	silent = ['a'];
	await tick(100);
	expect(readOrder()?.step).toBe(0);
	silent = [];
	isLeader = false;
	await tick(100);
	expect(readOrder()?.step).toBe(0);
	isLeader = true;
	await tick(100);
	expect(readOrder()?.step).toBeGreaterThan(0);
});

it('grows no share while an entry does not know the last one', async () => {
	order();
	for (let i = 0; i < 100; i += 1) {
		report('a', {}, 0);
		// eslint-disable-next-line no-await-in-loop -- ticks follow each other
		await tick(1);
	}

	expect(readOrder()?.step).toBe(0);
	report('a', {});
	await tick(1);
	expect(readOrder()?.step).toBe(1);
});

it('goes on with the age of the order after a change of the leader', async () => {
	order();
	await tick(60);
	const age = readOrder()!.ageMs;
	expect(age).toBeGreaterThan(2000);
	leader = createLeader();
	await tick(20);
	expect(readOrder()!.ageMs).toBeGreaterThanOrEqual(age);
});

it('succeeds only once requests at other versions have ended', async () => {
	order();
	report('a', {total: 10, exposed: 1, oldRunning: 2});
	await tick(400);
	expect(readOrder()?.stage).toBe('running');
	report('a', {total: 10, exposed: 1, oldRunning: 0});
	await tick(5);
	expect(readOrder()?.stage).toBe('succeeded');
	expect(state.rollouts.get('s')?.current).toBe('v2');
});
