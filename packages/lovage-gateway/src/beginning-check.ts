import {setTimeout as sleep} from 'node:timers/promises';
import {
	type BackendRecord,
	isBeginningReplaced,
	parseIncarnationKey,
	type StreamBeginning,
} from '@lovagevalve/dispatch';
import type {GatewayContext} from './context.js';

/** A backend server answers within milliseconds, or late, or has ended. */
const WORD_WAIT_MS = 600;
/** Backend servers that are asked whether they have started again. */
const MAX_ASKED = 64;

/** Start that a backend server names if it is not the one that registered. */
async function readNewStart(
	ctx: GatewayContext,
	backend: BackendRecord,
): Promise<number | undefined> {
	const proof = await Promise.race([
		ctx.incarnations.ask(backend),
		sleep(WORD_WAIT_MS),
	]);
	return proof?.kind === 'replaced' ? proof.bornAt : undefined;
}

/**
 * Proves which incarnation began a stream while it is still there to answer: the word
 * that follows an event can't be that of an earlier one. A later move need not ask.
 */
export async function proveBeginning(
	ctx: Pick<GatewayContext, 'clock' | 'incarnations' | 'origins'>,
	backend: BackendRecord,
	key: string,
): Promise<void> {
	const proof = await ctx.incarnations.ask(backend, ctx.clock.now());
	if (proof.kind === 'proved') {
		ctx.origins.confirmBeginning(key);
	}
}

/**
 * Asks the backend server that began a stream whether it had started again by then,
 * which its registration may not show yet. One that has ended can't say it.
 */
export async function hasOtherBegun(
	ctx: GatewayContext,
	beginning: StreamBeginning,
	requestId: string,
): Promise<boolean> {
	const {id} = parseIncarnationKey(beginning.incarnation);
	const backend = ctx.view.find(id);
	if (backend === undefined || backend.state === 'gone') {
		return false;
	}

	const bornAt = await readNewStart(ctx, backend);
	const isReplaced = isBeginningReplaced(beginning, bornAt);
	if (isReplaced) {
		ctx.metrics.count('replaced_beginnings');
		ctx.log.warn('A backend server had started again when it began a stream.', {
			request: requestId,
			backend: id,
			service: backend.service,
			registered: beginning.incarnation,
			bornAt: bornAt ?? 0,
			begunAt: beginning.at,
		});
	}

	return isReplaced;
}

/**
 * Whether a backend server of a service serves that has not registered yet. It may be
 * of an unknown version, and have begun any stream of unknown origin.
 */
export async function hasUnregistered(
	ctx: GatewayContext,
	service: string,
	requestId: string,
): Promise<boolean> {
	const asked = ctx.view.listRegistered(service).slice(0, MAX_ASKED);
	const starts = await Promise.all(
		asked.map(async (backend) => readNewStart(ctx, backend)),
	);
	const unregistered = asked.filter((_, i) => starts[i] !== undefined);
	if (unregistered.length > 0) {
		ctx.log.warn('Backend servers have started again and not registered yet.', {
			request: requestId,
			service,
			asked: asked.length,
			unregistered: unregistered.length,
			first: unregistered[0]!.id,
		});
	}

	return unregistered.length > 0;
}
