import {setTimeout as delay} from 'node:timers/promises';
import {isProblem, type CallResponse, type Problem} from '@lovagevalve/wire';
import {Agent, request} from 'undici';

const RESEND_MS = 100;
const TIMEOUT_MS = 5000;

/** A call of a plain service. */
export type ServiceCall = Readonly<{
	key: string;
	requestId: string;
	attempt?: number;
	service: string;
	operation: string;
	body: unknown;
	timeoutMs?: number;
}>;

/** What a caller learned from one send. */
export type CallOutcome =
	| {kind: 'answered'; answer: CallResponse}
	| {kind: 'refused'; status: number; problem?: Problem}
	/** No answer came: the caller knows nothing. */
	| {kind: 'lost'; detail: string};

/** Sends a call once to one address. */
export async function callOnce(
	address: string,
	call: ServiceCall,
): Promise<CallOutcome> {
	const {key, timeoutMs = TIMEOUT_MS, ...body} = call;
	const agent = new Agent({
		pipelining: 0,
		connect: {timeout: timeoutMs},
		headersTimeout: timeoutMs,
		bodyTimeout: timeoutMs,
	});
	try {
		const res = await request(`${address}/v1/calls`, {
			dispatcher: agent,
			method: 'POST',
			headers: {
				'content-type': 'application/json',
				authorization: `Bearer ${key}`,
			},
			body: JSON.stringify(body),
		});
		const answer = await res.body.json();
		if (res.statusCode < 300) {
			return {kind: 'answered', answer: answer as CallResponse};
		}

		const problem = isProblem(answer) ? answer : undefined;
		return {kind: 'refused', status: res.statusCode, problem};
	} catch (error) {
		const detail = error instanceof Error ? error.message : String(error);
		return {kind: 'lost', detail};
	} finally {
		void agent.destroy();
	}
}

function isSettled(outcome: CallOutcome): boolean {
	if (outcome.kind === 'answered') {
		return true;
	}

	const known = outcome.kind === 'refused' ? outcome.problem : undefined;
	const isTemporary =
		known === undefined ||
		known.outcome === 'in-progress' ||
		known.retryAfterMs !== undefined ||
		known.addresses !== undefined;
	return !isTemporary;
}

/**
 * Sends the same id to one address after the other until its state is final
 * or the sends are spent. A call that did not run is sent again as the next
 * attempt.
 */
export async function callUntilSettled(
	addresses: readonly string[],
	call: ServiceCall,
	sends: number,
): Promise<readonly CallOutcome[]> {
	const [address, ...others] = addresses;
	const outcome = await callOnce(address!, call);
	if (isSettled(outcome) || sends <= 1) {
		return [outcome];
	}

	const notRun =
		outcome.kind === 'refused' && outcome.problem?.outcome === 'not-run';
	const attempt = (call.attempt ?? 1) + (notRun ? 1 : 0);
	await delay(RESEND_MS);
	const rest = await callUntilSettled(
		[...others, address!],
		{...call, attempt},
		sends - 1,
	);
	return [outcome, ...rest];
}
