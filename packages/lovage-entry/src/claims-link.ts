import type {ClaimResult, EntryEffect} from '@lovagevalve/entry-role';
import type {Clock} from '@lovagevalve/runtime';
import type {ClaimKey} from '@lovagevalve/wire';
import type {ControlLink} from './control-link.js';

const CLAIM_WITHIN_MS = 2000;
const SETTLE_WITHIN_MS = 60_000;

type ClaimEffect = Extract<
	EntryEffect,
	{kind: 'open-claim' | 'refuse-claim' | 'settle-claim'}
>;
type AskEffect = Exclude<ClaimEffect, {kind: 'settle-claim'}>;

/** Sends what an entry says of claims to the control group. */
export type ClaimsLink = (effect: ClaimEffect) => Promise<ClaimResult>;

/** Creates the link of an entry to the claims of the control group. */
export function createClaimsLink(link: ControlLink, clock: Clock): ClaimsLink {
	const ask = async (effect: AskEffect): Promise<ClaimResult> => {
		const key: ClaimKey = {...effect.request, receivedAt: clock.wall()};
		const answer = await link.ask(
			async (client, signal) =>
				effect.kind === 'open-claim'
					? client.openClaim.mutate(key, {signal})
					: client.refuseClaim.mutate(key, {signal}),
			CLAIM_WITHIN_MS,
		);
		return answer ?? {kind: 'unavailable'};
	};

	const settle = async (
		effect: Extract<ClaimEffect, {kind: 'settle-claim'}>,
	): Promise<ClaimResult> => {
		const {claim, customer, requestId, outcome} = effect;
		const withinMs =
			outcome.kind === 'not-run' ? CLAIM_WITHIN_MS : SETTLE_WITHIN_MS;
		const answer = await link.ask(
			async (client, signal) =>
				client.settleClaim.mutate(
					{claim, customer, requestId, outcome},
					{signal},
				),
			withinMs,
		);
		return answer ?? {kind: 'unavailable'};
	};

	return async (effect) =>
		effect.kind === 'settle-claim' ? settle(effect) : ask(effect);
}
