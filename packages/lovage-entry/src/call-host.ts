import type {EntryEffect, EntryEvent} from '@lovagevalve/entry-role';
import type {Clock} from '@lovagevalve/runtime';
import type {CallResponse, CallRequest} from '@lovagevalve/wire';
import {exchangeCall} from './call-exchange.js';
import {createProblemResponse} from './caller-stream.js';
import {createRefusalProblem} from './problems.js';

const CALL_EFFECTS = [
	'connect-call',
	'write-call',
	'answer-call',
	'refuse-call',
] as const;

/** Effects that concern calls. */
export type CallEffect = Extract<
	EntryEffect,
	{kind: (typeof CALL_EFFECTS)[number]}
>;

/** Whether an effect concerns calls. */
export function isCallEffect(effect: EntryEffect): effect is CallEffect {
	const kinds: readonly string[] = CALL_EFFECTS;
	return kinds.includes(effect.kind);
}

type ConnectEffect = Extract<CallEffect, {kind: 'connect-call'}>;

/** Dependencies of the call host. */
export type CallHostOptions = Readonly<{
	clock: Clock;
	update: (event: EntryEvent) => void;
	random: () => number;
}>;

/** Executes the effects that concern calls. */
export type CallHost = Readonly<{
	/**
	 * Registers a call; must precede its `call-requested` event. Resolves with
	 * the response to the caller.
	 */
	add: (id: string, req: CallRequest) => Promise<Response>;
	run: (effect: CallEffect) => void;
}>;

type HostedCall = {
	req: CallRequest;
	respond: (res: Response) => void;
	/** Number of the dispatch that may be written; 0 for none. */
	permittedDispatch: number;
};

/** Creates the call host of one entry. */
export function createCallHost({
	clock,
	update,
	random,
}: CallHostOptions): CallHost {
	const hostedCalls = new Map<string, HostedCall>();

	const mayWrite = (call: string, dispatch: number): boolean => {
		const now = clock.now();
		update({kind: 'call-connected', call, dispatch, now, random: random()});
		return hostedCalls.get(call)?.permittedDispatch === dispatch;
	};

	const connect = async (
		{req}: HostedCall,
		{call, dispatch, customer, address, timeoutMs}: ConnectEffect,
	): Promise<void> => {
		const {requestId, operation, body} = req;
		const outcome = await exchangeCall({
			address,
			body: {requestId, customer, operation, body},
			timeoutMs,
			mayWrite: () => mayWrite(call, dispatch),
		});
		const at = {call, dispatch, now: clock.now(), random: random()};
		switch (outcome.kind) {
			case 'answered': {
				update({kind: 'call-answered', ...at, result: outcome.result});
				return;
			}

			case 'not-sent': {
				update({kind: 'call-not-sent', ...at});
				return;
			}

			case 'lost': {
				update({kind: 'call-lost', ...at});
			}
		}
	};

	const respond = (call: string, res: Response): void => {
		hostedCalls.get(call)?.respond(res);
		hostedCalls.delete(call);
	};

	return {
		add: async (id, req) =>
			new Promise((resolve) => {
				hostedCalls.set(id, {req, respond: resolve, permittedDispatch: 0});
			}),
		run(effect) {
			const call = hostedCalls.get(effect.call);
			if (!call) {
				return;
			}

			switch (effect.kind) {
				case 'connect-call': {
					void connect(call, effect);
					return;
				}

				case 'write-call': {
					call.permittedDispatch = effect.dispatch;
					return;
				}

				case 'answer-call': {
					const {result, replayed} = effect;
					const answer: CallResponse = {
						requestId: call.req.requestId,
						replayed,
						status: result.status,
						body: result.body,
					};
					respond(effect.call, Response.json(answer));
					return;
				}

				case 'refuse-call': {
					const problem = createRefusalProblem(effect.refusal);
					respond(effect.call, createProblemResponse(problem));
				}
			}
		},
	};
}
