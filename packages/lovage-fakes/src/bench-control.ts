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

const RPC_TIMEOUT_MS = 10_000;
const MS_PER_SECOND = 1000;

/** Commits with sync, one claim each. */
export type CommitRow = Readonly<{
	parallel: number;
	commits: number;
	commitsPerSecond: number;
	medianMs: number;
	leaderCpuMicrosPerCommit: number;
}>;

/** Cost of a group without requests. */
export type RestRow = Readonly<{
	entries: number;
	backends: number;
	/** Bytes a second that passed through the relays before the control group. */
	controlBytesPerSecond: number;
	leaderCpuShare: number;
	entryCpuShare: number;
	controlResidentBytes: number;
	entryResidentBytes: number;
}>;

/** Time from the start of a control instance to its last commit. */
export type RestartRow = Readonly<{
	commits: number;
	restartMs: number;
	residentBytes: number;
}>;

let sequence = 0;

async function openClaim(client: ControlClient): Promise<number> {
	sequence += 1;
	const startedAt = performance.now();
	const answer = await callRpc<ClaimResponse>(
		async (signal) =>
			client.openClaim.mutate(
				{
					customer: 'sync-london',
					requestId: `bench-${sequence}`,
					attempt: 1,
					digest: 'bench',
					entry: 'entry-1',
					incarnation: 'bench',
					receivedAt: Date.now(),
				},
				{signal},
			),
		RPC_TIMEOUT_MS,
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
	const times: number[] = [];
	const openNext = async (): Promise<void> => {
		times.push(await openClaim(client));
		return times.length < count ? openNext() : undefined;
	};

	await openNext();
	return times;
}

async function findLeader(cluster: Cluster): Promise<Member> {
	const address = await cluster.group.waitForLeader();
	return cluster.controls.find((control) => control.address === address)!;
}

/** Opens claims at the leader, `parallel` at a time. */
export async function measureCommits(
	cluster: Cluster,
	parallel: number,
	commits: number,
): Promise<CommitRow> {
	const leader = await findLeader(cluster);
	const pool = createRpcPool();
	const client = createControlClient(leader.address, pool);
	const each = Math.ceil(commits / parallel);
	const cpuBefore = readCpuMs(leader.read().pid);
	const startedAt = performance.now();
	const times = await Promise.all(
		Array.from({length: parallel}, async () => openClaims(client, each)),
	);
	const elapsedMs = performance.now() - startedAt;
	const cpuMs = readCpuMs(leader.read().pid) - cpuBefore;
	await pool.close();
	const sorted = times.flat().toSorted((a, b) => a - b);
	return {
		parallel,
		commits: sorted.length,
		commitsPerSecond: (sorted.length * MS_PER_SECOND) / elapsedMs,
		medianMs: sorted[Math.floor(sorted.length / 2)]!,
		leaderCpuMicrosPerCommit: (cpuMs * MS_PER_SECOND) / sorted.length,
	};
}

function countControlBytes({controls}: Cluster): number {
	return controls.reduce((sum, {relay}) => {
		const {toTarget, toClient} = relay!.countBytes();
		return sum + toTarget + toClient;
	}, 0);
}

/** Measures a cluster whose control instances are reached through relays. */
export async function measureRest(
	cluster: Cluster,
	durationMs: number,
): Promise<RestRow> {
	const leader = await findLeader(cluster);
	const {pid} = leader.read();
	const entryPid = cluster.entries[0]!.read().pid;
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

/** Kills a follower and measures until it has applied what it had before. */
export async function measureRestart(cluster: Cluster): Promise<RestartRow> {
	const leader = await findLeader(cluster);
	const follower = cluster.controls.find((control) => control !== leader)!;
	const before = await waitFor('a follower with every commit', async () => {
		const [own, others] = await Promise.all([
			cluster.group.status(follower.address),
			cluster.group.status(leader.address),
		]);
		return own && own.commitIndex === others?.commitIndex ? own : undefined;
	});
	await follower.read().end('SIGKILL');
	const startedAt = performance.now();
	follower.start();
	await waitFor('the restarted instance to have every commit', async () => {
		const status = await cluster.group.status(follower.address);
		return (status?.commitIndex ?? 0) >= before.commitIndex;
	});
	return {
		commits: before.commitIndex,
		restartMs: performance.now() - startedAt,
		residentBytes: readResidentBytes(follower.read().pid),
	};
}
