import type {RaftMessage} from '@lovagevalve/consensus';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {parseRaftMessage} from '../../raft-messages.js';

const SEED = 20_262;
const commonFields = {group: 'g.1', from: 'a', to: 'b', term: 3};
const member = {
	replica: 'a',
	name: 'control-1',
	address: 'http://127.0.0.1:1',
	voter: true,
};

const messages: readonly RaftMessage[] = [
	{...commonFields, kind: 'vote', lastIndex: 1, lastTerm: 1, transfer: false},
	{
		...commonFields,
		kind: 'pre-vote',
		lastIndex: 1,
		lastTerm: 1,
		transfer: true,
	},
	{...commonFields, kind: 'vote-answer', granted: true},
	{...commonFields, kind: 'pre-vote-answer', granted: false},
	{
		...commonFields,
		kind: 'append',
		previousIndex: 0,
		previousTerm: 0,
		entries: [
			{kind: 'membership', index: 1, term: 1, members: [member]},
			{kind: 'noop', index: 2, term: 2},
			{kind: 'command', index: 3, term: 2, data: '{}'},
		],
		commitIndex: 2,
		round: 1,
	},
	{
		...commonFields,
		kind: 'append-answer',
		rejected: false,
		matchIndex: 3,
		round: 1,
	},
	{
		...commonFields,
		kind: 'snapshot',
		index: 9,
		lastTerm: 2,
		members: [member],
		offset: 0,
		data: 'image',
		isLast: true,
	},
	{...commonFields, kind: 'snapshot-answer', index: 9, offset: 5},
	{...commonFields, kind: 'timeout-now'},
];

describe('parseRaftMessage', () => {
	test.each(messages)('accepts $kind', (message) => {
		const text = JSON.stringify(message);
		expect(parseRaftMessage(JSON.parse(text))).toEqual(message);
	});

	test.each(messages)(
		'rejects $kind with an unknown field or a negative term',
		(message) => {
			expect(parseRaftMessage({...message, more: 1})).toBeUndefined();
			expect(parseRaftMessage({...message, term: -1})).toBeUndefined();
		},
	);

	test('rejects other JSON values without throwing', () => {
		fc.assert(
			fc.property(fc.jsonValue(), (value) => {
				expect(parseRaftMessage(value)).toBeUndefined();
			}),
			{seed: SEED},
		);
	});
});
