import {describe, expect, it} from 'vitest';
import {
	type BackendRecord,
	decideResume,
	decideUnplaced,
	isBeginningReplaced,
	isOriginDoubtful,
	type OriginAnswer,
	type OriginEvidence,
} from '../../index.js';
import {READY_RECORD} from './ready-record.js';

const ALL_ALONG = Number.MAX_SAFE_INTEGER;
const origin = {service: 'model', softwareVersion: 'v1'};

function createAnswer(
	versions: Readonly<Record<string, number>>,
	change: Partial<OriginAnswer> = {},
): OriginAnswer {
	return {knownForMs: ALL_ALONG, versions: {model: versions}, ...change};
}

const onlyV1 = createAnswer({v1: 0});
const evidence: OriginEvidence = {
	services: ['model'],
	windowMs: 30_000,
	controls: 3,
	silentControls: 0,
	isNamed: true,
	answers: [onlyV1, onlyV1],
	ownVersions: ['v1'],
};

describe('decideResume', () => {
	it('goes on where an entry reported the stream, whatever else serves', () => {
		const answers = [
			createAnswer({v2: 0}),
			createAnswer({v2: 0}, {knownForMs: 0, origin}),
		];
		expect(decideResume({...evidence, answers})).toEqual({
			kind: 'resume',
			origin,
			evidence: 'reported',
		});
	});

	it('takes the only version for the origin of a stream that nobody reported', () => {
		expect(decideResume(evidence)).toEqual({
			kind: 'resume',
			origin,
			evidence: 'only version',
		});
	});

	it('takes it for that of a stream without a name while a control instance is silent', () => {
		const change = {silentControls: 1, isNamed: false};
		expect(decideResume({...evidence, ...change}).kind).toBe('resume');
	});

	it.each<readonly [string, Partial<OriginEvidence>]>([
		[
			'a control instance may be cut off together with another version',
			{silentControls: 1},
		],
		[
			'another version serves',
			{answers: [onlyV1, createAnswer({v1: 0, v2: 0})]},
		],
		[
			'another version has left since',
			{answers: [onlyV1, createAnswer({v1: 0, v0: 29_999})]},
		],
		['this entry knows another version', {ownVersions: ['v1', 'v2']}],
		['most control instances do not answer', {answers: [onlyV1]}],
		[
			'a control instance has started since',
			{answers: [onlyV1, createAnswer({v1: 0}, {knownForMs: 29_999})]},
		],
		['no control instance answers', {answers: [], controls: 0}],
		['several services may have begun it', {services: ['model', 'other']}],
		[
			'no version is known',
			{answers: [createAnswer({}), createAnswer({})], ownVersions: []},
		],
	])('refuses a stream of unknown origin when %s', (_, change) => {
		expect(decideResume({...evidence, ...change}).kind).toBe('refuse');
	});

	it('ignores versions that left before the stream can have begun', () => {
		const answers = [createAnswer({v1: 0, v0: 30_001}), onlyV1];
		expect(decideResume({...evidence, answers}).kind).toBe('resume');
	});

	it('refuses a stream whose service the route no longer leads to', () => {
		const answers = [createAnswer({}, {origin})];
		const decision = decideResume({...evidence, services: ['new'], answers});
		expect(decision.kind).toBe('refuse');
	});

	it('refuses an id under which two versions began', () => {
		const other = {...origin, softwareVersion: 'v2'};
		const answers = [
			createAnswer({}, {origin}),
			createAnswer({}, {origin: other}),
		];
		expect(decideResume({...evidence, answers}).kind).toBe('refuse');
	});

	it('refuses an id of which one control instance says so', () => {
		const answers = [
			createAnswer({}, {origin}),
			createAnswer({}, {isAmbiguous: true}),
		];
		expect(decideResume({...evidence, answers}).kind).toBe('refuse');
	});
});

// A server that came back under its id has not registered yet.
it.each<readonly [string, number | undefined, boolean]>([
	['has started again by then', 1_000_000, true],
	['has, by a clock that differs', 1_001_000, true],
	['started again later', 1_001_001, false],
	['is the incarnation that was asked', 5000, false],
	['says nothing', undefined, false],
])('the server that began a stream %s', (_, bornAt, isReplaced) => {
	const beginning = {incarnation: 'e-1/5000', at: 1_000_000};
	expect(isBeginningReplaced(beginning, bornAt)).toBe(isReplaced);
});

// It answered under its id before its registration had arrived.
describe('isOriginDoubtful', () => {
	const begunAt = 1_000_000;
	const beginning = {incarnation: 'e-1/5000', at: begunAt};
	const reborn: BackendRecord = {
		...READY_RECORD,
		softwareVersion: 'v2',
		bornAt: begunAt,
		sequence: 1,
		heardAt: 0,
	};
	it.each<readonly [string, BackendRecord | undefined, boolean]>([
		['its backend server had started again as another version', reborn, true],
		[
			'the clocks of the machines differ',
			{...reborn, bornAt: begunAt + 1000},
			true,
		],
		[
			'its backend server started again later',
			{...reborn, bornAt: begunAt + 1001},
			false,
		],
		[
			'it started again as the same version',
			{...reborn, softwareVersion: 'v1'},
			false,
		],
		['it has not started again', {...reborn, bornAt: 5000}, false],
		['its registration is forgotten', undefined, false],
	])('tells whether %s', (_, record, isDoubtful) => {
		expect(isOriginDoubtful(origin, beginning, record)).toBe(isDoubtful);
	});
});

describe('decideUnplaced', () => {
	const inputs = {ready: 2, hasOtherVersions: true, waitedMs: 4999};
	it.each([
		['waits while its servers may come back', {}, 'wait'],
		['ends when none of them came back', {waitedMs: 5000}, 'give-up'],
		['ends at once when none is left', {ready: 0, waitedMs: 0}, 'give-up'],
		[
			'waits while no other version serves',
			{ready: 0, hasOtherVersions: false},
			'wait',
		],
	] as const)('%s', (_, change, decision) => {
		expect(decideUnplaced({...inputs, ...change})).toBe(decision);
	});
});
