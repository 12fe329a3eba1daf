import {z} from 'zod';
import type {Redirect} from './redirect.js';

/** Schema of a claim's key and of the entry that requests it. */
export const claimKeySchema = z.strictObject({
	customer: z.string().min(1).max(63),
	requestId: z.string().min(1).max(128),
	attempt: z.number().int().min(1),
	/** Digest of service, operation and body. */
	digest: z.string().max(128),
	/** Entry that requests the claim. */
	entry: z.string().max(63),
	/** Incarnation of that entry. */
	incarnation: z.string().max(64),
	/**
	 * Identifies one arrival of the request; repeating it is a retry, not a
	 * duplicate.
	 */
	copy: z.string().min(1).max(64).optional(),
	/**
	 * Wall-clock time at which the caller's request first arrived; retention
	 * counts from it.
	 */
	receivedAt: z.number().int().min(0),
});

/** Identifies a claim and the entry that requests it. */
export type ClaimKey = z.output<typeof claimKeySchema>;

/** Schema of a backend server's response as stored. */
export const storedResponseSchema = z.strictObject({
	status: z.number().int(),
	body: z.json(),
});

/** A stored response. */
export type StoredResponse = z.output<typeof storedResponseSchema>;

/** Response to a claim request or a settlement. */
export type ClaimResponse =
	/**
	 * Only this entry may dispatch the call, once, within `dispatchWithinMs` of
	 * sending the request.
	 */
	| {kind: 'granted'; claim: string; dispatchWithinMs: number}
	| {kind: 'in-progress'}
	| {kind: 'done'; answer: StoredResponse}
	| {kind: 'not-run'; attempt: number}
	| {kind: 'unknown'}
	/** The same request id was used with a different body. */
	| {kind: 'conflict'}
	/** The request id is older than the retention period. */
	| {kind: 'too-old'}
	/** The claims table is full. */
	| {kind: 'overloaded'}
	| Redirect;

/** Schema of the final state reported by the holder of a claim. */
export const settleSchema = z.strictObject({
	claim: z.string().max(256),
	customer: z.string(),
	requestId: z.string(),
	outcome: z.discriminatedUnion('kind', [
		z.strictObject({kind: z.literal('done'), answer: storedResponseSchema}),
		/**
		 * Sent only by the holder, and only if no byte of the call was written.
		 */
		z.strictObject({kind: z.literal('not-run')}),
		z.strictObject({kind: z.literal('unknown')}),
	]),
});

/** Final state reported by the holder of a claim. */
export type SettleRequest = z.output<typeof settleSchema>;
