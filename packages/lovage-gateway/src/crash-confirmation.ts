import type {BackendRecord} from '@lovagevalve/dispatch';
import type {AcceptedRequest, GatewayContext} from './context.js';
import type {RunTimes} from './crash-watch.js';

/**
 * A crash counts against the request that ran, so this is longer than a connection
 * takes between busy machines. A server that has ended mostly refuses it at once.
 */
const CONFIRMATION_TIMEOUT_MS = 1000;

/**
 * Reports that a backend server crashed while it processed a request, unless it is
 * only late with accepting a connection; resolves with whether it crashed.
 */
export async function reportConfirmedCrash(
	ctx: Pick<GatewayContext, 'crashes' | 'probe' | 'resolveAddress'>,
	req: AcceptedRequest,
	backend: BackendRecord,
	times: RunTimes,
): Promise<boolean> {
	const isAlive = await ctx.probe(
		ctx.resolveAddress(backend),
		CONFIRMATION_TIMEOUT_MS,
	);
	if (!isAlive) {
		ctx.crashes.reportCrash(req, backend, times);
	}

	return !isAlive;
}
