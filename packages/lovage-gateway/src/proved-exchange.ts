import type {IncomingMessage} from 'node:http';
import {
	type AttemptFailure,
	type BackendRecord,
	decideHeldRun,
	type HeldRunDecision,
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

const HTTP_OK = 200;
/** Interval at which a held answer is looked at, and pause before a question is repeated. */
const CHECK_INTERVAL_MS = 100;

/** A request that goes on with what another backend server began. */
export type ProvedRun = Readonly<{
	backend: BackendRecord;
	requestId: string;
	/** Guard of the request. */
	guard: Guard;
	/** Absent if there is nothing left to check about it. */
	beginning: StreamBeginning | undefined;
	/** Called if the version that began the stream is in doubt. */
	onDoubt: () => void;
}>;

const DOUBTFUL: AttemptFailure = {
	kind: 'failed',
	reason: 'the software version that began the stream is in doubt',
	isBlameless: true,
};

/** Logs and counts that a backend server's answer is not used. */
function recordUnusedAnswer(
	{log, metrics}: GatewayContext,
	{backend, requestId}: ProvedRun,
	proof: IncarnationProof | undefined,
	heldMs: number,
): void {
	const facts = {
		request: requestId,
		backend: backend.id,
		service: backend.service,
		registeredBornAt: backend.bornAt,
		heldMs: Math.round(heldMs),
	};
	if (proof?.kind === 'replaced') {
		metrics.count('unregistered_incarnations');
		log.warn('A backend server has started again and not registered yet.', {
			...facts,
			bornAt: proof.bornAt,
		});
	} else {
		metrics.count('unproved_incarnations');
		log.warn('A backend server has not shown which incarnation it is.', {
			...facts,
			reason: proof?.kind === 'unproved' ? proof.reason : 'no answer yet',
		});
	}
}

/**
 * Sends a request at once and holds its answer back until the backend server is
 * proved to be the incarnation that registered. It is asked on a connection that
 * opens after that of the request, while it reads the prompt.
 */
export function openProvedExchange(
	ctx: GatewayContext,
	run: ProvedRun,
	request: ExchangeRequest,
	listener: ExchangeListener,
): Exchange {
	const {clock, incarnations} = ctx;
	const {backend, requestId, guard, beginning, onDoubt} = run;
	const sentAt = clock.now();
	let proof: IncarnationProof | undefined;
	let isBeginningChecked = beginning === undefined;
	let held: Readonly<{response: IncomingMessage; at: number}> | undefined;
	let isAsking = false;
	let isOver = false;

	const end = (): void => {
		isOver = true;
		clearInterval(timer);
	};

	const leave = (failure: AttemptFailure): void => {
		end();
		exchange.cancel();
		listener.onFailure(failure);
	};

	const deliver = (response: IncomingMessage): void => {
		end();
		if (response.destroyed) {
			listener.onFailure({kind: 'lost', reason: 'the stream broke off'});
		} else {
			listener.onResponse(response);
		}
	};

	const apply = (decision: HeldRunDecision): void => {
		switch (decision.kind) {
			case 'hold': {
				break;
			}

			case 'deliver': {
				if (held !== undefined && isBeginningChecked) {
					deliver(held.response);
				}

				break;
			}

			case 'leave': {
				recordUnusedAnswer(ctx, run, proof, clock.now() - sentAt);
				const {reason, isReplaced} = decision;
				leave(
					isReplaced
						? {kind: 'failed', reason}
						: {kind: 'failed', reason, isBlameless: true},
				);
				break;
			}
		}
	};

	const check = (): void => {
		if (isOver) {
			return;
		}

		const answeredMs = held === undefined ? undefined : clock.now() - held.at;
		apply(decideHeldRun({proof, answeredMs}));
		if (!isOver && !isAsking && proof?.kind === 'unproved') {
			void guard.settle(ask());
		}
	};

	const ask = async (): Promise<void> => {
		isAsking = true;
		proof = await incarnations.ask(backend, clock.now());
		isAsking = false;
		if (proof.kind !== 'unproved') {
			check();
		}
	};

	const checkBeginning = async (): Promise<void> => {
		const isDoubtful =
			beginning !== undefined &&
			(await hasOtherBegun(ctx, beginning, requestId));
		isBeginningChecked = true;
		if (isOver) {
			return;
		}

		if (isDoubtful) {
			onDoubt();
			leave(DOUBTFUL);
		} else {
			check();
		}
	};

	const timer = setInterval(guard.wrap(check), CHECK_INTERVAL_MS);
	const exchange = openExchange(request, {
		onConnect() {
			void guard.settle(ask());
		},
		onResponse(response) {
			// Only events can be joined with those of another version.
			if (response.statusCode !== HTTP_OK) {
				end();
				listener.onResponse(response);
				return;
			}

			// Without a listener, the error of a response that breaks off is dropped.
			response.on('error', () => undefined);
			held = {response, at: clock.now()};
			check();
		},
		onFailure(failure) {
			end();
			listener.onFailure(failure);
		},
	});
	void guard.settle(checkBeginning());
	return {
		cancel() {
			end();
			exchange.cancel();
		},
	};
}
