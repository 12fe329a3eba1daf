import {
	type BackendRecord,
	judgeSilence,
	type ProbeState,
	type SilenceDecision,
} from '@lovagevalve/dispatch';
import {probeAddress, type Exchange} from './backend-exchange.js';
import type {LoadReservation} from './backend-view.js';
import type {AcceptedRequest, GatewayContext} from './context.js';
import type {BackupCopy, KvBackup} from './kv-backup.js';

/** One run of the request at one backend server. */
export type Run = {
	readonly backend: BackendRecord;
	readonly reservation: LoadReservation;
	readonly kvBackup: KvBackup;
	/** It goes on with the memory of a former run. */
	readonly hasCopy: boolean;
	exchange: Exchange | undefined;
	hasStarted: boolean;
	/** Monotonic milliseconds of the last event, or of the send. */
	lastEventAt: number;
	probe: ProbeState;
	probedAt: number;
	isClosed: boolean;
};

/** A run that has ended without the end of the stream. */
export type PreviousRun = Readonly<{
	backend: BackendRecord;
	/** Copy of its memory to go on with. */
	backupCopy: BackupCopy | undefined;
	/** The backend server lacked only the copy, and is asked again without. */
	shouldRetryWithoutCopy: boolean;
}>;

/** Looks whether the backend server of a silent run accepts connections. */
export async function probeRun(ctx: GatewayContext, run: Run): Promise<void> {
	run.probe = 'pending';
	const isAlive = await probeAddress(run.backend.address);
	run.probe = isAlive ? 'alive' : 'dead';
	run.probedAt = ctx.clock.now();
	if (!isAlive) {
		ctx.view.reportHealth(run.backend, 'unreachable');
	}
}

/** Notes what the loss of a run says of its backend server. */
export async function recordLoss(
	ctx: GatewayContext,
	digest: string,
	{backend, probe}: Run,
): Promise<void> {
	const isAlive = probe !== 'dead' && (await probeAddress(backend.address));
	ctx.view.reportHealth(backend, isAlive ? 'failed' : 'unreachable');
	if (!isAlive) {
		ctx.reportCrash(digest, backend);
	}
}

/** Judges the silence of a run; `hasEvents` tells whether the caller has any event to go on from. */
export function evaluateSilence(
	ctx: GatewayContext,
	{route}: AcceptedRequest,
	run: Run,
	hasEvents: boolean,
): SilenceDecision {
	const now = ctx.clock.now();
	return judgeSilence({
		silentMs: now - run.lastEventAt,
		hasStarted: run.hasStarted,
		probe: run.probe,
		isKnownDead: ctx.view.readAvailability(run.backend.id) === 'unreachable',
		probedAgoMs: now - run.probedAt,
		hasCopy: hasEvents && run.kvBackup.findCopy() !== undefined,
		gapTargetMs: route.gapTargetMs,
		latencyTargetMs: route.latencyTargetMs,
	});
}
