import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {hasTooManyValues, MAX_JSON_VALUES} from '../../index.js';

// JSON of some megabytes holds values that take more memory than the heap has: an
// instance that parses it ends.

const HALF = MAX_JSON_VALUES / 2;

describe('hasTooManyValues', () => {
	it.each([
		['empty objects', `[${'{},'.repeat(HALF + 1)}0]`],
		['empty lists', `[${'[],'.repeat(HALF + 1)}0]`],
		['numbers', `[${'0,'.repeat(MAX_JSON_VALUES + 1)}0]`],
		['nested lists', '['.repeat(MAX_JSON_VALUES + 1)],
		[
			'what follows a text',
			String.raw`["\\"` + `,${'0,'.repeat(MAX_JSON_VALUES)}0]`,
		],
	])('refuses %s', (_, text) => {
		expect(hasTooManyValues(Buffer.from(text))).toBe(true);
	});

	it.each([
		['as many numbers as may be', `[${'0,'.repeat(MAX_JSON_VALUES - 1)}0]`],
		['a long text', JSON.stringify({text: '[{,'.repeat(MAX_JSON_VALUES)})],
		[
			'a text in a text',
			JSON.stringify({text: JSON.stringify(['"\\'.repeat(HALF)])}),
		],
		['an open text', `"${String.raw`,\"`.repeat(MAX_JSON_VALUES)}`],
	])('accepts %s', (_, text) => {
		expect(hasTooManyValues(Buffer.from(text))).toBe(false);
	});

	it('tells texts from values in any JSON', () => {
		const filler = `[${'0,'.repeat(MAX_JSON_VALUES - 2)}0]`;
		fc.assert(
			fc.property(fc.string({unit: 'binary', maxLength: 40}), (text) => {
				// Two more values than the filler alone: the list and its text.
				const fits = `${filler.slice(0, -1)},${JSON.stringify(text)}]`;
				const exceeds = `${filler.slice(0, -1)},${JSON.stringify(text)},0]`;
				expect(hasTooManyValues(Buffer.from(fits))).toBe(false);
				expect(hasTooManyValues(Buffer.from(exceeds))).toBe(true);
			}),
			{numRuns: 20},
		);
	});
});
