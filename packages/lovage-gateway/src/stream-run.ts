import {
	type BackendRecord,
	decideStallAction,
	type ProbeState,
	type StallAction,
} from '@lovagevalve/dispatch';
import {probeAddress, type Exchange} from './backend-exchange.js';
import type {Placement} from './backend-view.js';
import type {AcceptedRequest, GatewayContext} from './context.js';
import type {HeldCopy, RunProtection} from './run-protection.js';

/** One run of the request at one backend server. */
export type Run = {
	readonly backend: BackendRecord;
	readonly placement: Placement;
	readonly protection: RunProtection;
	/** It goes on with the memory of a former run. */
	readonly hasCopy: boolean;
	exchange: Exchange | undefined;
	hasStarted: boolean;
	/** Monotonic milliseconds of the last event, or of the send. */
	heardAt: number;
	probe: ProbeState;
	probedAt: number;
	isOver: boolean;
};

/** A run that has ended without the end of the stream. */
export type FormerRun = Readonly<{
	backend: BackendRecord;
	/** Copy of its memory to go on with. */
	held: HeldCopy | undefined;
	/** The backend server lacked only the copy, and is asked again without. */
	isAskedAgain: boolean;
}>;

/** Looks whether the backend server of a silent run accepts connections. */
export async function probeRun(ctx: GatewayContext, run: Run): Promise<void> {
	run.probe = 'pending';
	const isAlive = await probeAddress(run.backend.address);
	run.probe = isAlive ? 'alive' : 'dead';
	run.probedAt = ctx.clock.now();
	if (!isAlive) {
		ctx.view.signal(run.backend, 'unreachable');
	}
}

/** Notes what the loss of a run says of its backend server. */
export async function noteLoss(
	ctx: GatewayContext,
	digest: string,
	{backend, probe}: Run,
): Promise<void> {
	const isAlive = probe !== 'dead' && (await probeAddress(backend.address));
	ctx.view.signal(backend, isAlive ? 'failed' : 'unreachable');
	if (!isAlive) {
		ctx.reportCrash(digest, backend);
	}
}

/** Judges the silence of a run; `hasEvents` tells whether the caller has any event to go on from. */
export function judgeRun(
	ctx: GatewayContext,
	{route}: AcceptedRequest,
	run: Run,
	hasEvents: boolean,
): StallAction {
	const now = ctx.clock.now();
	return decideStallAction({
		idleMs: now - run.heardAt,
		hasFirstEvent: run.hasStarted,
		probe: run.probe,
		isKnownUnreachable:
			ctx.view.readUsability(run.backend.id) === 'unreachable',
		msSinceProbe: now - run.probedAt,
		hasCopy: hasEvents && run.protection.findCopy() !== undefined,
		gapTargetMs: route.gapTargetMs,
		latencyTargetMs: route.latencyTargetMs,
	});
}
