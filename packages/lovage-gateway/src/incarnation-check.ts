import {
	type AttemptFailure,
	type BackendRecord,
	decideProofWait,
	type IncarnationProof,
	type StreamBeginning,
} from '@lovagevalve/dispatch';
import {
	type Exchange,
	type ExchangeListener,
	type ExchangeRequest,
	openExchange,
} from './backend-exchange.js';
import {hasOtherBegun} from './beginning-check.js';
import type {GatewayContext} from './context.js';
import type {Guard} from './guard.js';

const POLL_MS = 50;
const DOUBTFUL: AttemptFailure = {
	kind: 'not-sent',
	reason: 'the software version that began the stream is in doubt',
	isBlameless: true,
};

/**
 * Waits for a backend server's word of which incarnation it is; undefined if it
 * says nothing in time, or another one of its version does so first.
 */
async function awaitProof(
	{clock, incarnations}: GatewayContext,
	backend: BackendRecord,
	guard: Guard,
): Promise<IncarnationProof | undefined> {
	const askedAt = clock.now();
	let isOtherProved = false;
	let areOthersAsked = false;
	const askOther = async (other: BackendRecord): Promise<void> => {
		const proof = await incarnations.ask(other);
		isOtherProved ||= proof.kind === 'proved';
	};

	return new Promise((resolve) => {
		const settle = (proof: IncarnationProof | undefined): void => {
			clearInterval(timer);
			resolve(proof);
		};

		const check = (): void => {
			const waitedMs = clock.now() - askedAt;
			switch (decideProofWait({waitedMs, isOtherProved})) {
				case 'wait': {
					break;
				}

				case 'ask-others': {
					if (!areOthersAsked) {
						areOthersAsked = true;
						incarnations.chooseOthers(backend).forEach((other) => {
							void guard.settle(askOther(other));
						});
					}

					break;
				}

				case 'give-up': {
					settle(undefined);
					break;
				}
			}
		};

		const timer = setInterval(guard.wrap(check), POLL_MS);
		const ask = async (): Promise<void> => {
			settle(await incarnations.ask(backend));
		};

		void guard.settle(ask());
	});
}

/** Why a request that goes on can't be sent to a backend server; undefined if it can. */
async function checkIncarnation(
	ctx: GatewayContext,
	{backend, requestId, guard}: CheckedRun,
): Promise<AttemptFailure | undefined> {
	const askedAt = ctx.clock.now();
	const proof = (await awaitProof(ctx, backend, guard)) ?? {
		kind: 'unproved',
		reason: 'it has not answered in time',
	};
	const facts = {
		request: requestId,
		backend: backend.id,
		service: backend.service,
		registeredBornAt: backend.bornAt,
		waitedMs: Math.round(ctx.clock.now() - askedAt),
	};
	switch (proof.kind) {
		case 'proved': {
			return undefined;
		}

		case 'replaced': {
			ctx.metrics.count('unregistered_incarnations');
			ctx.log.warn(
				'A backend server has started again and not registered yet.',
				{
					...facts,
					bornAt: proof.bornAt,
				},
			);
			return {kind: 'not-sent', reason: 'it has started again'};
		}

		case 'unproved': {
			ctx.metrics.count('unproved_incarnations');
			ctx.log.warn('A backend server has not shown which incarnation it is.', {
				...facts,
				reason: proof.reason,
			});
			return {
				kind: 'not-sent',
				reason: `its incarnation is unproved: ${proof.reason}`,
				isBlameless: true,
			};
		}
	}
}

/** A request that goes on with what another backend server began. */
export type CheckedRun = Readonly<{
	backend: BackendRecord;
	requestId: string;
	/** Guard of the request. */
	guard: Guard;
	/** Absent if this entry doesn't know it. */
	beginning: StreamBeginning | undefined;
	/** Called if the version that began the stream is in doubt. */
	onDoubt: () => void;
}>;

/** Sends a request to a backend server if it is proved to be the incarnation that registered. */
export function openCheckedExchange(
	ctx: GatewayContext,
	run: CheckedRun,
	request: ExchangeRequest,
	listener: ExchangeListener,
): Exchange {
	const {requestId, guard, beginning, onDoubt} = run;
	let isCancelled = false;
	let exchange: Exchange | undefined;
	const open = async (): Promise<void> => {
		const [unproved, isDoubtful] = await Promise.all([
			checkIncarnation(ctx, run),
			beginning !== undefined && hasOtherBegun(ctx, beginning, requestId),
		]);
		if (isCancelled) {
			return;
		}

		if (isDoubtful) {
			onDoubt();
		}

		const failure = isDoubtful ? DOUBTFUL : unproved;

		if (failure === undefined) {
			exchange = openExchange(request, listener);
		} else {
			listener.onFailure(failure);
		}
	};

	void guard.settle(open());
	return {
		cancel() {
			isCancelled = true;
			exchange?.cancel();
		},
	};
}
