import {z} from 'zod';
import type {Redirect} from './redirect.js';

/** Schema of a claim's name and of who asks for it. */
export const claimKeySchema = z.strictObject({
	customer: z.string().min(1).max(63),
	requestId: z.string().min(1).max(128),
	attempt: z.number().int().min(1),
	/** Digest of service, operation and body. */
	digest: z.string().max(128),
	/** Entry that claims. */
	entry: z.string().max(63),
	/** Incarnation of that entry. */
	incarnation: z.string().max(64),
	/** Names one arrival of the request; asking again with it is a resend. */
	copy: z.string().min(1).max(64).optional(),
	/** When the caller's request arrived first, wall clock, for retention. */
	receivedAt: z.number().int().min(0),
});

/** Names a claim and who asks for it. */
export type ClaimKey = z.output<typeof claimKeySchema>;

/** Answer of a backend server as it is stored. */
export const storedResponseSchema = z.strictObject({
	status: z.number().int(),
	body: z.json(),
});

/** A stored answer. */
export type StoredResponse = z.output<typeof storedResponseSchema>;

/** State of a claim as an entry learns it. */
export type ClaimResponse =
	/** This entry, and no other, may dispatch, once, within `dispatchWithinMs` of asking. */
	| {kind: 'granted'; claim: string; dispatchWithinMs: number}
	| {kind: 'in-progress'}
	| {kind: 'done'; answer: StoredResponse}
	| {kind: 'not-run'; attempt: number}
	| {kind: 'unknown'}
	/** The same id came with another body. */
	| {kind: 'conflict'}
	/** The id is older than the retention. */
	| {kind: 'too-old'}
	/** The claims table is full. */
	| {kind: 'overloaded'}
	| Redirect;

/** Schema of the final state that the holder of a claim reports. */
export const settleSchema = z.strictObject({
	claim: z.string().max(256),
	customer: z.string(),
	requestId: z.string(),
	outcome: z.discriminatedUnion('kind', [
		z.strictObject({kind: z.literal('done'), answer: storedResponseSchema}),
		/** Only from the holder, which never handed out a byte. */
		z.strictObject({kind: z.literal('not-run')}),
		z.strictObject({kind: z.literal('unknown')}),
	]),
});

/** Final state that the holder of a claim reports. */
export type SettleRequest = z.output<typeof settleSchema>;
