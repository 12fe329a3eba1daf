import {createHash} from 'node:crypto';

const UUID_V7 =
	/^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/i;
const ULID = /^[0-7][\dA-HJKMNP-TV-Z]{25}$/;
const ULID_ALPHABET = '0123456789ABCDEFGHJKMNPQRSTVWXYZ';
const ULID_TIME_LENGTH = 10;
const SPENT_DIGEST_LENGTH = 22;

/** An id whose time is further than this in the future is treated as opaque. */
export const MAX_ISSUED_AHEAD_MS = 600_000;

function parseUlidTime(requestId: string): number {
	return Array.from({length: ULID_TIME_LENGTH}).reduce<number>(
		(time, _, i) => time * 32 + ULID_ALPHABET.indexOf(requestId[i]!),
		0,
	);
}

/** Returns the time in milliseconds of a UUIDv7 or ULID, `undefined` for other ids. */
export function parseIssuedAt(requestId: string): number | undefined {
	if (UUID_V7.test(requestId)) {
		return Number.parseInt(requestId.replace('-', '').slice(0, 12), 16);
	}

	return ULID.test(requestId) ? parseUlidTime(requestId) : undefined;
}

/** Creates the key of a request in the claims table. */
export function createRequestKey(customer: string, requestId: string): string {
	return JSON.stringify([customer, requestId]);
}

/** Creates the short digest that is kept for an evicted request id. */
export function createSpentDigest(key: string): string {
	return createHash('sha256')
		.update(key)
		.digest('base64url')
		.slice(0, SPENT_DIGEST_LENGTH);
}
