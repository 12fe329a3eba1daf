import {
	type BackendRecord,
	decideStallAction,
	isStillSending,
	type ProbeState,
	type StallAction,
} from '@lovagevalve/dispatch';
import {isInStartWindow} from '@lovagevalve/quarantine';
import type {BufferHolder} from '@lovagevalve/runtime';
import {
	type AskedServer,
	describeAsked,
	describeAskedPeer,
} from './answer-reader.js';
import type {Exchange} from './backend-exchange.js';
import type {AcceptedRequest, GatewayContext} from './context.js';
import {reportConfirmedCrash} from './crash-confirmation.js';
import type {KvCopy, KvBackup} from './kv-backup.js';
import type {LoadReservation} from './load-reservations.js';

/** Execution of a streaming request at one backend server. */
export type Run = {
	/** For a run at another entry, that entry. */
	readonly backend: BackendRecord;
	/** Whether another entry runs it, as this one reaches no backend server. */
	readonly isRelayed: boolean;
	/** Address that the request was sent to. */
	readonly address: string;
	readonly reservation: LoadReservation;
	readonly kvBackup: KvBackup;
	/** It resumes from a copy of an earlier run's KV cache. */
	readonly hasCopy: boolean;
	exchange: Exchange | undefined;
	/** Time of sending the request, in monotonic milliseconds. */
	readonly sentAt: number;
	/** Time of its first event, in monotonic milliseconds. */
	startedAt: number | undefined;
	/**
	 * Time of the last event, or of sending the request, in monotonic
	 * milliseconds.
	 */
	lastEventAt: number;
	/** Time of the last bytes of its body, likewise. */
	lastBytesAt: number;
	probe: ProbeState;
	probedAt: number;
	isClosed: boolean;
	/** It is past its start, so that it doesn't crash its backend server. */
	isSound: boolean;
};

/** A run that ended before the stream was complete. */
export type PreviousRun = Readonly<{
	backend: BackendRecord;
	/** Copy of its KV cache to resume from. */
	kvCopy: KvCopy | undefined;
	/**
	 * The backend server only lacked the copy and is sent the request again
	 * without it.
	 */
	shouldRetryWithoutCopy: boolean;
}>;

/** Creates a run that is about to be sent. */
export function createRun(
	{clock}: Pick<GatewayContext, 'clock'>,
	backend: BackendRecord,
	address: string,
): Omit<Run, 'kvBackup' | 'hasCopy' | 'reservation'> {
	const now = clock.now();
	return {
		backend,
		isRelayed: false,
		address,
		exchange: undefined,
		sentAt: now,
		startedAt: undefined,
		lastEventAt: now,
		lastBytesAt: now,
		probe: 'none',
		probedAt: 0,
		isClosed: false,
		isSound: false,
	};
}

/** Who holds what is buffered of the answer of a run. */
export function describeRunHolder({
	isRelayed,
	backend: {id},
}: Run): BufferHolder {
	return {source: isRelayed ? 'instances' : 'backends', name: id};
}

/** Describes the request of a run. */
export function describeRun(
	req: AcceptedRequest,
	{isRelayed, address, backend, sentAt}: Run,
): AskedServer {
	return isRelayed
		? describeAskedPeer(req, address)
		: describeAsked(req, backend, sentAt);
}

/** The load of a run at another entry, which accounts for it. */
export function createNoReservation(backend: BackendRecord): LoadReservation {
	return {
		backend,
		markPrefilled: () => undefined,
		release: () => undefined,
	};
}

/** Silence after which the entry that runs a stream is probed, and time between probes. */
const RELAY_PROBE_MS = 700;

/** Whether a run without new events goes on sending. */
export function isRunSending(
	{clock}: Pick<GatewayContext, 'clock'>,
	{lastEventAt, lastBytesAt}: Pick<Run, 'lastEventAt' | 'lastBytesAt'>,
): boolean {
	const now = clock.now();
	return isStillSending({
		idleMs: now - lastEventAt,
		quietMs: now - lastBytesAt,
	});
}

/** Probes whether the backend server of a silent run accepts connections. */
export async function probeRun(ctx: GatewayContext, run: Run): Promise<void> {
	run.probe = 'pending';
	const isAlive = await ctx.probe(run.address);
	run.probe = isAlive ? 'alive' : 'dead';
	run.probedAt = ctx.clock.now();
	if (!isAlive && !isRunSending(ctx, run)) {
		ctx.view.reportHealth(run.backend, 'unreachable');
	}
}

/**
 * Updates the health of a backend server that lost a run, and reports a crash
 * that the run may have caused; resolves with whether there was one.
 */
export async function recordLoss(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{backend, address, isRelayed, probe, sentAt, startedAt}: Run,
): Promise<boolean> {
	if (isRelayed) {
		return false;
	}

	const lostAt = ctx.clock.now();
	const runningMs = startedAt === undefined ? undefined : lostAt - startedAt;
	const isAlive = probe !== 'dead' && (await ctx.probe(address));
	ctx.view.reportHealth(backend, isAlive ? 'failed' : 'unreachable');
	return (
		!isAlive &&
		isInStartWindow(runningMs) &&
		reportConfirmedCrash(ctx, req, backend, {sentAt, lostAt})
	);
}

/**
 * Decides how to react to the silence of a run; `hasEvents` is whether the
 * caller has an event to resume after.
 */
export function evaluateSilence(
	ctx: GatewayContext,
	{route}: AcceptedRequest,
	run: Run,
	hasEvents: boolean,
): StallAction {
	const now = ctx.clock.now();
	if (run.isRelayed && run.probe !== 'dead') {
		// The other entry moves the stream itself, but may end after it was probed.
		const since = run.probe === 'alive' ? run.probedAt : run.lastEventAt;
		return run.probe !== 'pending' && now - since > RELAY_PROBE_MS
			? 'probe'
			: 'wait';
	}

	return decideStallAction({
		idleMs: now - run.lastEventAt,
		hasFirstEvent: run.startedAt !== undefined,
		probe: run.probe,
		isKnownUnreachable:
			ctx.view.readAvailability(run.backend.id) === 'unreachable',
		msSinceProbe: now - run.probedAt,
		hasCopy: hasEvents && run.kvBackup.findCopy() !== undefined,
		gapTargetMs: route.gapTargetMs,
		latencyTargetMs: route.latencyTargetMs,
	});
}
