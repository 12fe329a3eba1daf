import {expect} from 'vitest';
import type {RaftGuards} from '../../index.js';
import {createCluster, type Cluster} from './cluster.js';

/** Virtual time within which a group must elect a leader and recover. */
export const SETTLE_LIMIT_MS = 60_000;

/** Creates a cluster of three voters with a leader and a committed membership. */
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

/** Cuts all links of a replica, in both directions. */
export function isolate(cluster: Cluster, name: string): void {
	cluster.nodes.forEach((other) => {
		cluster.cutLinks.add(`${name}>${other.name}`).add(`${other.name}>${name}`);
	});
}
