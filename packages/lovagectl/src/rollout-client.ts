import {parseJson, readBounded} from '@lovagevalve/runtime';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {request, type Agent} from 'undici';
import type {Host} from './host.js';
import {createSearch, type SearchState} from './leader-search.js';
import {
	decideNextAttempt,
	type Attempt,
	type RolloutAnswer,
} from './rollout-retry.js';

/** Answers on roll-outs have two fields, of 256 characters at most. */
const MAX_BODY_BYTES = 16_384;
const STATUS_OK = 200;

/** A call that any control instance may answer; it may be sent several times. */
export type RolloutCall<Answer> = Readonly<{
	path: '/rollout' | '/rollout-read';
	body: unknown;
	decode: (value: unknown) => Result<Answer, string>;
	/** Time within which a control instance has to confirm it, in milliseconds. */
	timeoutMs: number;
}>;

async function sendRequest(
	url: string,
	body: unknown,
	timeoutMs: number,
	agent: Agent,
): Promise<Result<unknown, string>> {
	const response = await request(url, {
		method: 'POST',
		dispatcher: agent,
		signal: AbortSignal.timeout(timeoutMs),
		headers: {'content-type': 'application/json'},
		body: JSON.stringify(body),
	});
	const content = await readBounded(response.body, MAX_BODY_BYTES);
	return response.statusCode === STATUS_OK
		? parseJson(new TextDecoder().decode(content))
		: err(`HTTP status ${response.statusCode}`);
}

/**
 * Calls the control instances through the interface between instances, one after the
 * other, until one confirms or the time is over; the error tells why the last did not.
 */
export async function callRollouts<Answer extends RolloutAnswer>(
	addresses: readonly string[],
	{path, body, decode, timeoutMs}: RolloutCall<Answer>,
	agent: Agent,
	host: Host,
): Promise<Result<Answer, string>> {
	const attempt = async (
		search: SearchState,
		result: Attempt<Answer>['result'],
	): Promise<Result<Answer, string>> => {
		const next = decideNextAttempt(search, {
			result,
			now: host.now(),
			random: host.random(),
		});
		switch (next.kind) {
			case 'done': {
				return ok(next.answer);
			}

			case 'give-up': {
				return err(next.reason);
			}

			case 'ask': {
				await host.sleep(next.pauseMs);
				const response = await ResultAsync.fromPromise(
					sendRequest(`${next.address}${path}`, body, next.timeoutMs, agent),
					(cause) => (cause instanceof Error ? cause.message : String(cause)),
				);
				const answer = response
					.andThen((sent) => sent)
					.andThen(decode)
					.mapErr((reason) => `${next.address}: ${reason}`);
				return attempt(next.search, answer);
			}
		}
	};

	return attempt(createSearch(addresses, host.now() + timeoutMs), undefined);
}
