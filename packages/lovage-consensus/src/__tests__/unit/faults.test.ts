import fc from 'fast-check';
import {expect, test} from 'vitest';
import {readLastIndex, type RaftGuards} from '../../index.js';
import {createCluster, type Cluster} from './cluster.js';

const faults = fc.oneof(
	{
		weight: 6,
		arbitrary: fc.record({
			kind: fc.constant('propose' as const),
			node: fc.nat(4),
		}),
	},
	{
		weight: 4,
		arbitrary: fc.record({kind: fc.constant('read' as const), node: fc.nat(4)}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			kind: fc.constant('crash' as const),
			node: fc.nat(4),
		}),
	},
	{
		weight: 4,
		arbitrary: fc.record({
			kind: fc.constant('start' as const),
			node: fc.nat(4),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			kind: fc.constant('cut' as const),
			node: fc.nat(4),
			other: fc.nat(4),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({kind: fc.constant('power-cut' as const)}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			kind: fc.constant('isolate' as const),
			node: fc.nat(4),
		}),
	},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('heal' as const)})},
	{
		weight: 2,
		arbitrary: fc.record({
			kind: fc.constant('lose-disk' as const),
			node: fc.nat(4),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			kind: fc.constant('snapshot' as const),
			node: fc.nat(4),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			kind: fc.constant('transfer' as const),
			node: fc.nat(4),
		}),
	},
);
const delays = fc.oneof(fc.nat(150), fc.nat(2500));
const schedules = fc.array(fc.tuple(faults, delays), {
	minLength: 5,
	maxLength: 40,
});

type Fault = typeof faults extends fc.Arbitrary<infer Value> ? Value : never;

function inject(cluster: Cluster, fault: Fault, step: number): void {
	const {nodes, cutLinks: cuts} = cluster;
	const pick = (index: number) => nodes[index % nodes.length]!;
	switch (fault.kind) {
		case 'propose': {
			// Sent to every replica, so that stale leaders receive it too.
			nodes.forEach((node) => {
				cluster.propose(node, `p${step}`, [
					`${step}a-${node.name}`,
					`${step}b`,
				]);
			});
			break;
		}

		case 'read': {
			nodes.forEach((node) => {
				cluster.requestRead(node, `r${step}-${node.name}`);
			});
			break;
		}

		case 'crash': {
			cluster.crash(pick(fault.node));
			break;
		}

		case 'power-cut': {
			nodes.forEach((node) => {
				cluster.crash(node);
			});
			nodes.forEach((node) => {
				cluster.start(node);
			});
			break;
		}

		case 'start': {
			const node = pick(fault.node);
			if (node.state === undefined) {
				cluster.start(node);
			}

			break;
		}

		case 'cut': {
			cuts.add(`${pick(fault.node).name}>${pick(fault.other).name}`);
			break;
		}

		case 'isolate': {
			const {name} = pick(fault.node);
			nodes.forEach((other) => {
				cuts.add(`${name}>${other.name}`).add(`${other.name}>${name}`);
			});
			break;
		}

		case 'heal': {
			cuts.clear();
			break;
		}

		case 'lose-disk': {
			if (cluster.hasAllVoters()) {
				const node = pick(fault.node);
				cluster.loseDisk(node);
				cluster.start(node);
			}

			break;
		}

		case 'snapshot': {
			cluster.snapshot(pick(fault.node));
			break;
		}

		case 'transfer': {
			const now = cluster.now();
			cluster.feedEvent(pick(fault.node), {kind: 'transfer-requested', now});
			break;
		}
	}
}

function recover(cluster: Cluster): boolean {
	cluster.cutLinks.clear();
	cluster.nodes
		.filter(({state}) => state === undefined)
		.forEach((node) => {
			cluster.start(node);
		});
	const hasAllVoters = cluster.advanceUntil(
		() => cluster.hasAllVoters(),
		60_000,
	);
	const highest = cluster.findHighestApplied();
	const isCaughtUp = (): boolean =>
		cluster.nodes.every(
			({state}) =>
				state!.appliedIndex >= highest &&
				state!.appliedIndex === readLastIndex(state!.log),
		);
	return hasAllVoters && cluster.advanceUntil(isCaughtUp, 60_000);
}

function findMismatch(cluster: Cluster): string | undefined {
	const seen = new Map<string, string>();
	const entries = cluster.nodes.flatMap(({state}) => [
		...(state?.log.entries ?? []),
	]);
	return entries
		.map((entry) => {
			const key = `${entry.index}/${entry.term}`;
			const text = JSON.stringify(entry);
			const known = seen.get(key) ?? text;
			seen.set(key, known);
			return known === text ? undefined : `entries differ at index/term ${key}`;
		})
		.find((mismatch) => mismatch !== undefined);
}

function runSchedule(
	names: readonly string[],
	seed: number,
	schedule: ReadonlyArray<readonly [Fault, number]>,
	guards: Partial<RaftGuards> = {},
): void {
	const cluster = createCluster(names, seed, guards);
	cluster.initialise();
	cluster.advance(3000);
	schedule.forEach(([fault, durationMs], step) => {
		inject(cluster, fault, step);
		cluster.advance(durationMs);
		expect(findMismatch(cluster)).toBeUndefined();
	});
	expect(cluster.violations).toEqual([]);
	expect(recover(cluster)).toBe(true);
	expect(cluster.violations).toEqual([]);
}

test('three replicas preserve the safety invariants and recover under random faults', () => {
	fc.assert(
		fc.property(fc.nat(1e6), schedules, (seed, schedule) => {
			runSchedule(['a', 'b', 'c'], seed, schedule);
		}),
		{seed: 3, numRuns: 120},
	);
});

test('five replicas preserve the safety invariants and recover under random faults', () => {
	fc.assert(
		fc.property(fc.nat(1e6), schedules, (seed, schedule) => {
			runSchedule(['a', 'b', 'c', 'd', 'e'], seed, schedule);
		}),
		{seed: 5, numRuns: 60},
	);
});

// Random schedules don't reveal the effect of the other safety rules; directed
// tests and the specification cover those.
const guardsFoundByRandomFaults = [
	'syncBeforeAcknowledge',
	'readNeedsOwnTermCommit',
	'learnerBeforeVoter',
	'logUpToDateCheck',
	'voteOncePerTerm',
] as const;

test.each(guardsFoundByRandomFaults)(
	'random faults cause a failure without %s',
	(guard) => {
		const result = fc.check(
			fc.property(fc.nat(1e6), schedules, (seed, schedule) => {
				runSchedule(['a', 'b', 'c'], seed, schedule, {[guard]: false});
			}),
			{seed: 3, numRuns: 400, endOnFailure: true},
		);
		expect(result.failed).toBe(true);
	},
);
