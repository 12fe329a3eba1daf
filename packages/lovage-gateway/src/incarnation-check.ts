import type {AttemptFailure, BackendRecord} from '@lovagevalve/dispatch';
import {sendBackendCommand} from './backend-command.js';
import {
	type Exchange,
	type ExchangeListener,
	type ExchangeRequest,
	openExchange,
} from './backend-exchange.js';
import type {GatewayContext} from './context.js';

/** Backend servers say who they are without waiting for a slot. */
const CHECK_TIMEOUT_MS = 300;

/**
 * Asks a backend server whether it is still the incarnation that registered; one
 * that doesn't answer, or says nothing about it, is taken at its registration.
 */
async function checkIncarnation(
	ctx: GatewayContext,
	backend: BackendRecord,
	requestId: string,
): Promise<AttemptFailure | undefined> {
	const answer = await sendBackendCommand(
		ctx,
		{backend, requestId},
		ctx.codec.createStatusCommand(),
		CHECK_TIMEOUT_MS,
	);
	const bornAt = answer.isOk() ? ctx.codec.readBornAt(answer.value) : undefined;
	if (bornAt === undefined || bornAt === backend.bornAt) {
		return undefined;
	}

	ctx.metrics.count('unregistered_incarnations');
	ctx.log.warn('A backend server has started again and not registered yet.', {
		request: requestId,
		backend: backend.id,
		service: backend.service,
		bornAt,
		registeredBornAt: backend.bornAt,
	});
	return {kind: 'not-sent', reason: 'it has started again'};
}

/** Sends a request to a backend server if it is the incarnation that registered. */
export function openCheckedExchange(
	ctx: GatewayContext,
	{backend, requestId}: Readonly<{backend: BackendRecord; requestId: string}>,
	request: ExchangeRequest,
	listener: ExchangeListener,
): Exchange {
	let isCancelled = false;
	let exchange: Exchange | undefined;
	const open = async (): Promise<void> => {
		const failure = await checkIncarnation(ctx, backend, requestId);
		if (isCancelled) {
			return;
		}

		if (failure === undefined) {
			exchange = openExchange(request, listener);
		} else {
			listener.onFailure(failure);
		}
	};

	void open();
	return {
		cancel() {
			isCancelled = true;
			exchange?.cancel();
		},
	};
}
