import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {readCursor, writeCursor, type SignedCursor} from '../../cursor.js';
import {
	matchesDigest,
	createDeliveredTokens,
	appendTokens,
	readDigest,
} from '../../delivered.js';

const SEED = 5510;
const SECRET = 'a-secret-of-this-test';
const signed: SignedCursor = {
	cursor: {
		customer: 'label',
		requestId: 'r',
		generation: 'g',
		backend: 'e1',
		attempt: 2,
		entry: 'entry-1',
		offset: 7,
	},
	deliveredDigest: 'd',
};

describe('cursors', () => {
	it('round-trip through encoding and decoding', () => {
		const text = writeCursor(signed, SECRET);
		expect(readCursor(text, SECRET)._unsafeUnwrap()).toEqual(signed);
	});

	it('signed with another secret are rejected', () => {
		const text = writeCursor(signed, 'another-secret-for-this');
		expect(readCursor(text, SECRET).isErr()).toBe(true);
	});

	it('are rejected without throwing when any character was changed', () => {
		const text = writeCursor(signed, SECRET);
		const changed = fc
			.tuple(fc.nat(text.length - 1), fc.string({minLength: 1, maxLength: 1}))
			.map(([at, char]) => text.slice(0, at) + char + text.slice(at + 1))
			.filter((other) => other !== text);
		fc.assert(
			fc.property(fc.oneof(changed, fc.string()), (other) =>
				readCursor(other, SECRET).isErr(),
			),
			{seed: SEED},
		);
	});
});

describe('delivered tokens', () => {
	it('match only the digest of the same tokens', () => {
		const lists = fc.array(fc.string({maxLength: 4}), {maxLength: 6});
		fc.assert(
			fc.property(lists, lists, (tokens, others) => {
				const delivered = createDeliveredTokens();
				appendTokens(delivered, tokens);
				const isSame = JSON.stringify(tokens) === JSON.stringify(others);
				return matchesDigest(others, readDigest(delivered)) === isSame;
			}),
			{seed: SEED},
		);
	});

	it('do not match the same text split into other tokens', () => {
		const delivered = createDeliveredTokens();
		appendTokens(delivered, ['a\0', 'b']);
		const digest = readDigest(delivered);
		expect(matchesDigest(['a\0', 'b'], digest)).toBe(true);
		expect(matchesDigest(['a', '\0b'], digest)).toBe(false);
	});
});
