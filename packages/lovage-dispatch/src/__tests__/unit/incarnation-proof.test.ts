// Guards against streams that go on at a server whose software version is not known.
import {expect, it} from 'vitest';
import {
	decideHeldRun,
	type HeldRun,
	type IncarnationEvidence,
	MAX_HOLD_MS,
	proveIncarnation,
} from '../../index.js';

const evidence: IncarnationEvidence = {
	registeredBornAt: 5000,
	isNamingUsual: true,
	word: {kind: 'named', bornAt: 5000},
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

const silent = {kind: 'unproved', reason: 'timeout'} as const;

it.each<[string, HeldRun, string]>([
	['nothing has arrived', {proof: undefined, answeredMs: undefined}, 'hold'],
	[
		'only the proof has',
		{proof: {kind: 'proved'}, answeredMs: undefined},
		'hold',
	],
	['only the answer has', {proof: undefined, answeredMs: 0}, 'hold'],
	['both have', {proof: {kind: 'proved'}, answeredMs: 0}, 'deliver'],
	[
		'the proof arrives very late',
		{proof: {kind: 'proved'}, answeredMs: MAX_HOLD_MS * 9},
		'deliver',
	],
	// A server without an answer may be short of processor time.
	['it is silent altogether', {proof: silent, answeredMs: undefined}, 'hold'],
	['it is silent at first', {proof: silent, answeredMs: 100}, 'hold'],
	['it stays silent', {proof: silent, answeredMs: MAX_HOLD_MS}, 'leave'],
	[
		'its first question stays open',
		{proof: undefined, answeredMs: MAX_HOLD_MS},
		'leave',
	],
	[
		'it is another incarnation',
		{proof: {kind: 'replaced', bornAt: 6000}, answeredMs: undefined},
		'leave',
	],
])('a held answer when %s', (_, run, expected) => {
	expect(decideHeldRun(run).kind).toBe(expected);
});
