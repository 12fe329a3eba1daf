import {expect} from 'vitest';
import type {RaftGuards} from '../../index.js';
import {createCluster, type Cluster} from './cluster.js';

/** Virtual time in which a group must get to work. */
export const SETTLE_LIMIT_MS = 60_000;

/** Creates a group that has a leader and has settled. */
export function createClusterWithLeader(
	seed: number,
	guards: Partial<RaftGuards> = {},
): Cluster {
	const cluster = createCluster(['a', 'b', 'c'], seed, guards);
	cluster.initialise();
	expect(
		cluster.advanceUntil(() => cluster.hasAllVoters(), SETTLE_LIMIT_MS),
	).toBe(true);
	return cluster;
}

/** Cuts every link of a replica. */
export function isolate(cluster: Cluster, name: string): void {
	cluster.nodes.forEach((other) => {
		cluster.cutLinks.add(`${name}>${other.name}`).add(`${other.name}>${name}`);
	});
}
