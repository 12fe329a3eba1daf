import type {IncomingHttpHeaders} from 'node:http';
import {type BackendRecord, isRepeatable} from '@lovagevalve/dispatch';
import {
	type AcceptedRequest,
	type GatewayContext,
	readRemainingMs,
} from './context.js';
import {removeHeaders} from './hop-by-hop-headers.js';

/**
 * Marks a request that another entry sends on because it reaches no backend server.
 * It grants nothing: the entry that receives it only doesn't send it on again.
 */
const RELAYED_HEADER = 'Lovage-Relayed';
/** Marks a refusal of an entry that reaches no backend server either. */
export const CUT_OFF_HEADER = 'Lovage-Cut-Off';
const RELAY_HEADERS: ReadonlySet<string> = new Set([
	RELAYED_HEADER.toLowerCase(),
]);
/** Entries among which one is chosen at random; the nearest are listed first. */
const MAX_CHOICES = 4;
/** Entries that are tried for one request. */
const MAX_TRIED = 3;

/** Whether another entry sent this request on. */
export function isRelayed(headers: IncomingHttpHeaders): boolean {
	return headers[RELAYED_HEADER.toLowerCase()] !== undefined;
}

/** Removes the mark, which no backend server must see. */
export function removeRelayHeaders(rawHeaders: readonly string[]): string[] {
	return removeHeaders(rawHeaders, RELAY_HEADERS);
}

/** Whether an answer is the refusal of an entry that is cut off too. */
export function isCutOffAnswer(headers: IncomingHttpHeaders): boolean {
	return headers[CUT_OFF_HEADER.toLowerCase()] !== undefined;
}

/**
 * Chooses another entry for a request whose service this one doesn't reach;
 * undefined if it reaches it, or none is left.
 */
export function chooseRelayPeer(
	ctx: Pick<GatewayContext, 'reach' | 'listRelays' | 'random'>,
	{service, isRelayed}: Pick<AcceptedRequest, 'service' | 'isRelayed'>,
	excluded: readonly string[],
): string | undefined {
	return isRelayed || !ctx.reach.isCutOff(service.name)
		? undefined
		: choosePeer(ctx, excluded);
}

/** Chooses another entry that was not tried yet; undefined if enough were. */
export function choosePeer(
	ctx: Pick<GatewayContext, 'listRelays' | 'random'>,
	excluded: readonly string[],
): string | undefined {
	const peers = ctx.listRelays();
	const untried = peers.filter((address) => !excluded.includes(address));
	const choices =
		peers.length - untried.length < MAX_TRIED
			? untried.slice(0, MAX_CHOICES)
			: [];
	return choices[Math.floor(ctx.random() * choices.length)];
}

/** How far a request is that is sent to another entry. */
export type RelayedProgress = Readonly<{
	/** Last event of the caller. */
	lastEventId: string | undefined;
	/** The event behind which the other entry begins. */
	resumeId: string | undefined;
}>;

/** Headers of a request that another entry handles as if its caller had sent it there. */
export function createRelayHeaders(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{lastEventId, resumeId}: RelayedProgress,
): string[] {
	const {metadata, body} = req;
	const isTakenUp = lastEventId !== metadata.lastEventId;
	return [
		...ctx.codec.createRelayHeaders(req.rawHeaders, {
			remainingMs: readRemainingMs(ctx, req),
			lastEventId: resumeId,
			// The first event may have come through this entry.
			resumes: metadata.resumes ?? (isTakenUp ? metadata.id : undefined),
			bodyLength: body?.length,
		}),
		RELAYED_HEADER,
		'1',
	];
}

/** Describes another entry as the place of a stream's run. */
export function createPeerRecord(
	address: string,
	service: string,
): BackendRecord {
	return {
		id: address,
		service,
		address,
		dataCentre: '',
		state: 'ready',
		slots: 0,
		bornAt: 0,
		sequence: 0,
		heardAt: 0,
	};
}

/** Whether a request that another entry may have run can be sent to a further one. */
export function canRelayAgain({route}: AcceptedRequest): boolean {
	return isRepeatable(route.kind, route.isResumable);
}
