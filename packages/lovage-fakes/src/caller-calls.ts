import {setTimeout as delay} from 'node:timers/promises';
import {isProblem, type CallResponse, type Problem} from '@lovagevalve/wire';
import {Agent, request} from 'undici';

const RETRY_DELAY_MS = 100;
const DEFAULT_TIMEOUT_MS = 5000;

/** A call to a plain service. */
export type ServiceCall = Readonly<{
	key: string;
	requestId: string;
	attempt?: number;
	service: string;
	operation: string;
	body: unknown;
	timeoutMs?: number;
}>;

/** Result of sending a call once. */
export type CallOutcome =
	| {kind: 'answered'; answer: CallResponse}
	| {kind: 'refused'; status: number; problem?: Problem}
	/** The connection failed, so the call may or may not have run. */
	| {kind: 'lost'; detail: string};

/** Sends a call to one address, without retries. */
export async function callOnce(
	address: string,
	call: ServiceCall,
): Promise<CallOutcome> {
	const {key, timeoutMs = DEFAULT_TIMEOUT_MS, ...body} = call;
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

function isFinalOutcome(outcome: CallOutcome): boolean {
	if (outcome.kind === 'answered') {
		return true;
	}

	const problem = outcome.kind === 'refused' ? outcome.problem : undefined;
	const isTemporary =
		problem === undefined ||
		problem.outcome === 'in-progress' ||
		problem.retryAfterMs !== undefined ||
		problem.addresses !== undefined;
	return !isTemporary;
}

/**
 * Sends a call with the same request id to the addresses in rotation, until the
 * outcome is final or `maxSends` is reached. A call that did not run is retried
 * as the next attempt.
 */
export async function callUntilFinal(
	addresses: readonly string[],
	call: ServiceCall,
	maxSends: number,
): Promise<readonly CallOutcome[]> {
	const [address, ...others] = addresses;
	const outcome = await callOnce(address!, call);
	if (isFinalOutcome(outcome) || maxSends <= 1) {
		return [outcome];
	}

	const didNotRun =
		outcome.kind === 'refused' && outcome.problem?.outcome === 'not-run';
	const attempt = (call.attempt ?? 1) + (didNotRun ? 1 : 0);
	await delay(RETRY_DELAY_MS);
	const laterOutcomes = await callUntilFinal(
		[...others, address!],
		{...call, attempt},
		maxSends - 1,
	);
	return [outcome, ...laterOutcomes];
}
