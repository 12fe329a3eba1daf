// Guards against streams that go on at a server whose software version is not known.
import {expect, it} from 'vitest';
import {
	decideProofWait,
	type IncarnationEvidence,
	MAX_PROOF_WAIT_MS,
	MAX_QUESTION_PAUSE_MS,
	type ProofWait,
	proveIncarnation,
} from '../../index.js';

const evidence: IncarnationEvidence = {
	registeredBornAt: 5000,
	isNamingUsual: true,
	word: {kind: 'named', bornAt: 5000},
	pauseMs: 50,
};
const unnamed = {registeredBornAt: 0, isNamingUsual: false};

it.each<[string, Partial<IncarnationEvidence>, string]>([
	['it names the start that registered', {}, 'proved'],
	['it names a later start', {word: {kind: 'named', bornAt: 6000}}, 'replaced'],
	[
		'it names an earlier start',
		{word: {kind: 'named', bornAt: 4000}},
		'replaced',
	],
	['it names none', {word: {kind: 'unnamed'}}, 'unproved'],
	['it is silent', {word: {kind: 'silent', reason: 'timeout'}}, 'unproved'],
	[
		'its word waited while this process stood still',
		{pauseMs: MAX_QUESTION_PAUSE_MS + 1},
		'unproved',
	],
	[
		'only its registration names no start',
		{registeredBornAt: 0, word: {kind: 'unnamed'}},
		'unproved',
	],
	[
		'it names a start that its registration did not name',
		{...unnamed, word: {kind: 'named', bornAt: 6000}},
		'replaced',
	],
	[
		'no server of the service names a start',
		{...unnamed, word: {kind: 'unnamed'}},
		'proved',
	],
	[
		'no server of the service names a start, and it is silent',
		{...unnamed, word: {kind: 'silent', reason: 'timeout'}},
		'proved',
	],
])('the incarnation when %s', (_, change, expected) => {
	expect(proveIncarnation({...evidence, ...change}).kind).toBe(expected);
});

it.each<[string, ProofWait, string]>([
	['at first', {waitedMs: 100, isOtherProved: false}, 'wait'],
	['for a moment', {waitedMs: 100, isOtherProved: true}, 'wait'],
	['without others', {waitedMs: 400, isOtherProved: false}, 'ask-others'],
	['beside one that answers', {waitedMs: 400, isOtherProved: true}, 'give-up'],
	[
		'for too long',
		{waitedMs: MAX_PROOF_WAIT_MS, isOtherProved: false},
		'give-up',
	],
])('a request waits for a server that is slow %s', (_, wait, expected) => {
	expect(decideProofWait(wait)).toBe(expected);
});
