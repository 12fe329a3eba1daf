import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {
	callRpc,
	createControlClient,
	createRpcPool,
	type ClaimResponse,
	type ControlClient,
} from '@lovagevalve/wire';
import type {Cluster} from './cluster.js';
import type {Member} from './member.js';
import {readCpuMs, readResidentBytes} from './process-usage.js';
import {waitFor} from './wait.js';

const CLAIM_TIMEOUT_MS = 10_000;
const MS_PER_SECOND = 1000;

/** Throughput and latency of synced commits of one claim each. */
export type CommitRow = Readonly<{
	parallel: number;
	commits: number;
	commitsPerSecond: number;
	medianMs: number;
	leaderCpuMicrosPerCommit: number;
}>;

/** Resource use of an idle cluster. */
export type IdleRow = Readonly<{
	entries: number;
	backends: number;
	/** Bytes per second through the relays in front of the control instances. */
	controlBytesPerSecond: number;
	leaderCpuShare: number;
	entryCpuShare: number;
	controlResidentBytes: number;
	entryResidentBytes: number;
}>;

/** Time that a restarted control instance takes to catch up. */
export type RestartRow = Readonly<{
	commits: number;
	restartMs: number;
	residentBytes: number;
}>;

let claimSequence = 0;

async function openClaim(client: ControlClient): Promise<number> {
	claimSequence += 1;
	const startedAt = performance.now();
	const answer = await callRpc<ClaimResponse>(
		async (signal) =>
			client.openClaim.mutate(
				{
					customer: 'sync-london',
					requestId: `bench-${claimSequence}`,
					attempt: 1,
					digest: 'bench',
					entry: 'entry-1',
					incarnation: 'bench',
					receivedAt: Date.now(),
				},
				{signal},
			),
		CLAIM_TIMEOUT_MS,
	);
	const kind = answer.isOk() ? answer.value.kind : answer.error.message;
	if (kind !== 'granted') {
		throw new Error(`The claim was not granted: ${kind}`);
	}

	return performance.now() - startedAt;
}

async function openClaims(
	client: ControlClient,
	count: number,
): Promise<readonly number[]> {
	const latenciesMs: number[] = [];
	const openNext = async (): Promise<void> => {
		latenciesMs.push(await openClaim(client));
		return latenciesMs.length < count ? openNext() : undefined;
	};

	await openNext();
	return latenciesMs;
}

async function findLeader(cluster: Cluster): Promise<Member> {
	const address = await cluster.group.waitForLeader();
	return cluster.controls.find((control) => control.address === address)!;
}

/** Opens claims at the leader from `parallel` concurrent clients. */
export async function measureCommits(
	cluster: Cluster,
	parallel: number,
	commits: number,
): Promise<CommitRow> {
	const leader = await findLeader(cluster);
	const pool = createRpcPool();
	const client = createControlClient(leader.address, pool);
	const claimsPerClient = Math.ceil(commits / parallel);
	const cpuBefore = readCpuMs(leader.getProgram().pid);
	const startedAt = performance.now();
	const latenciesMs = await Promise.all(
		Array.from({length: parallel}, async () =>
			openClaims(client, claimsPerClient),
		),
	);
	const elapsedMs = performance.now() - startedAt;
	const cpuMs = readCpuMs(leader.getProgram().pid) - cpuBefore;
	await pool.close();
	const sortedLatenciesMs = latenciesMs.flat().toSorted((a, b) => a - b);
	return {
		parallel,
		commits: sortedLatenciesMs.length,
		commitsPerSecond: (sortedLatenciesMs.length * MS_PER_SECOND) / elapsedMs,
		medianMs: sortedLatenciesMs[Math.floor(sortedLatenciesMs.length / 2)]!,
		leaderCpuMicrosPerCommit:
			(cpuMs * MS_PER_SECOND) / sortedLatenciesMs.length,
	};
}

function countControlBytes({controls}: Cluster): number {
	return controls.reduce((sum, {relay}) => {
		const {toTarget, toClient} = relay!.countBytes();
		return sum + toTarget + toClient;
	}, 0);
}

/** Measures an idle cluster whose control instances are behind relays. */
export async function measureIdle(
	cluster: Cluster,
	durationMs: number,
): Promise<IdleRow> {
	const leader = await findLeader(cluster);
	const {pid} = leader.getProgram();
	const entryPid = cluster.entries[0]!.getProgram().pid;
	const bytesBefore = countControlBytes(cluster);
	const cpuBefore = readCpuMs(pid);
	const entryCpuBefore = readCpuMs(entryPid);
	const startedAt = performance.now();
	await delay(durationMs);
	const elapsedMs = performance.now() - startedAt;
	return {
		entries: cluster.entries.length,
		backends: cluster.backends.length,
		controlBytesPerSecond:
			((countControlBytes(cluster) - bytesBefore) * MS_PER_SECOND) / elapsedMs,
		leaderCpuShare: (readCpuMs(pid) - cpuBefore) / elapsedMs,
		entryCpuShare: (readCpuMs(entryPid) - entryCpuBefore) / elapsedMs,
		controlResidentBytes: readResidentBytes(pid),
		entryResidentBytes: readResidentBytes(entryPid),
	};
}

/** Kills a follower and measures how long it takes to reach its former commit index. */
export async function measureRestart(cluster: Cluster): Promise<RestartRow> {
	const leader = await findLeader(cluster);
	const follower = cluster.controls.find((control) => control !== leader)!;
	const before = await waitFor(
		'a follower to reach the commit index of the leader',
		async () => {
			const [own, others] = await Promise.all([
				cluster.group.status(follower.address),
				cluster.group.status(leader.address),
			]);
			return own && own.commitIndex === others?.commitIndex ? own : undefined;
		},
	);
	await follower.getProgram().end('SIGKILL');
	const startedAt = performance.now();
	follower.start();
	await waitFor(
		'the restarted instance to reach its former commit index',
		async () => {
			const status = await cluster.group.status(follower.address);
			return (status?.commitIndex ?? 0) >= before.commitIndex;
		},
	);
	return {
		commits: before.commitIndex,
		restartMs: performance.now() - startedAt,
		residentBytes: readResidentBytes(follower.getProgram().pid),
	};
}
