import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import type {Cursor} from '@lovagevalve/entry-role';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

const payloadSchema = z.strictObject({
	c: z.string(),
	r: z.string(),
	g: z.string(),
	b: z.string(),
	a: z.number().int(),
	e: z.string(),
	o: z.number().int().min(0),
	d: z.string(),
});

/** A cursor and the digest of the tokens delivered before it. */
export type SignedCursor = Readonly<{
	cursor: Cursor;
	/** Digest of the delivered tokens. */
	deliveredDigest: string;
}>;

function sign(payload: string, secret: string): string {
	return createHmac('sha256', secret).update(payload).digest('base64url');
}

/**
 * Encodes a cursor and signs it with HMAC-SHA256, so that only entries can
 * issue one.
 */
export function writeCursor(
	{cursor, deliveredDigest}: SignedCursor,
	secret: string,
): string {
	const payload = Buffer.from(
		JSON.stringify({
			c: cursor.customer,
			r: cursor.requestId,
			g: cursor.generation,
			b: cursor.backend,
			a: cursor.attempt,
			e: cursor.entry,
			o: cursor.offset,
			d: deliveredDigest,
		}),
	).toString('base64url');
	return `${payload}.${sign(payload, secret)}`;
}

function isSignedBy(payload: string, tag: string, secret: string): boolean {
	const expected = Buffer.from(sign(payload, secret));
	const given = Buffer.from(tag);
	return expected.length === given.length && timingSafeEqual(expected, given);
}

function parsePayload(payload: string): unknown {
	try {
		return JSON.parse(Buffer.from(payload, 'base64url').toString()) as unknown;
	} catch {
		return undefined;
	}
}

/** Decodes a cursor and verifies its signature. */
export function readCursor(
	text: string,
	secret: string,
): Result<SignedCursor, 'invalid-cursor'> {
	const [payload, tag] = text.split('.', 2);
	if (!payload || !tag || !isSignedBy(payload, tag, secret)) {
		return err('invalid-cursor');
	}

	const parsed = payloadSchema.safeParse(parsePayload(payload));
	if (!parsed.success) {
		return err('invalid-cursor');
	}

	const {c, r, g, b, a, e, o, d} = parsed.data;
	return ok({
		cursor: {
			customer: c,
			requestId: r,
			generation: g,
			backend: b,
			attempt: a,
			entry: e,
			offset: o,
		},
		deliveredDigest: d,
	});
}
