import type {ServerResponse} from 'node:http';
import {describeError} from '@lovagevalve/runtime';
import type {GatewayContext} from './context.js';
import {createGuard, type RequestGuard} from './guard.js';
import {breakOff, sendProblem} from './responses.js';

const FAULT = {status: 500, reason: 'unexpected error'};

/** Answers a request that met a fault, or breaks its answer off. */
function endAfterFault(res: ServerResponse): void {
	if (res.headersSent) {
		breakOff(res);
	} else {
		sendProblem(res, FAULT);
	}
}

/** Creates the guard of a request; only its first fault is logged and counted. */
export function createRequestGuard(
	ctx: Pick<GatewayContext, 'codec' | 'log' | 'metrics'>,
	res: ServerResponse,
): RequestGuard {
	const cleanups: Array<() => void> = [];
	// What ends a request may throw for the same reason.
	const ending = createGuard(() => {
		breakOff(res);
	});
	const cleaning = createGuard(() => {
		ctx.metrics.count('faults');
	});
	let hasFault = false;
	const guard = createGuard((error) => {
		if (hasFault) {
			return;
		}

		hasFault = true;
		ctx.metrics.count('faults');
		ctx.log.error('Unexpected error while handling a request.', {
			request: ctx.codec.readRequest(res.req.headers).id,
			reason: describeError(error),
		});
		ending.run(() => {
			endAfterFault(res);
		});
		cleanups.forEach((cleanup) => {
			cleaning.run(cleanup);
		});
	});
	guard.watch(res.req);
	guard.watch(res);
	return {
		...guard,
		addCleanup(cleanup) {
			cleanups.push(cleanup);
		},
	};
}
