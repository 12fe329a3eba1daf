import type {ClaimResult, EntryEffect} from '@lovagevalve/entry-role';
import type {Clock} from '@lovagevalve/runtime';
import type {ClaimKey} from '@lovagevalve/wire';
import type {ControlGroupClient} from './control-group-client.js';

const CLAIM_TIMEOUT_MS = 2000;
const SETTLE_TIMEOUT_MS = 60_000;

type ClaimEffect = Extract<
	EntryEffect,
	{kind: 'open-claim' | 'refuse-claim' | 'settle-claim'}
>;
type ClaimRequestEffect = Exclude<ClaimEffect, {kind: 'settle-claim'}>;

/** Sends a claim request or a settlement to the control group. */
export type ClaimClient = (effect: ClaimEffect) => Promise<ClaimResult>;

/** Creates an entry's client for the claims that the control group stores. */
export function createClaimClient(
	controlGroup: ControlGroupClient,
	clock: Clock,
): ClaimClient {
	const requestClaim = async (
		effect: ClaimRequestEffect,
	): Promise<ClaimResult> => {
		const key: ClaimKey = {...effect.request, receivedAt: clock.wall()};
		const answer = await controlGroup.call(
			async (client, signal) =>
				effect.kind === 'open-claim'
					? client.openClaim.mutate(key, {signal})
					: client.refuseClaim.mutate(key, {signal}),
			CLAIM_TIMEOUT_MS,
		);
		return answer ?? {kind: 'unavailable'};
	};

	const settle = async (
		effect: Extract<ClaimEffect, {kind: 'settle-claim'}>,
	): Promise<ClaimResult> => {
		const {claim, customer, requestId, outcome} = effect;
		const timeoutMs =
			outcome.kind === 'not-run' ? CLAIM_TIMEOUT_MS : SETTLE_TIMEOUT_MS;
		const answer = await controlGroup.call(
			async (client, signal) =>
				client.settleClaim.mutate(
					{claim, customer, requestId, outcome},
					{signal},
				),
			timeoutMs,
		);
		return answer ?? {kind: 'unavailable'};
	};

	return async (effect) =>
		effect.kind === 'settle-claim' ? settle(effect) : requestClaim(effect);
}
