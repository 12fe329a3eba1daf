import {describe, expect, it} from 'vitest';
import type {ControlReport} from '../../index.js';
import {decodeControlReport} from '../../report-decoder.js';

const revision = {epoch: 1_700_000_000_000.5, revision: 3};

const report: ControlReport = {
	version: 4,
	controls: ['10.0.0.1:7200'],
	entries: 4,
	known: revision,
	backends: [],
	hasMore: true,
	agesMs: {'e-1': 0.5},
	agesAboveMs: 1800,
	readyCount: 1,
	overview: {
		serving: ['10.0.1.1:80'],
		servingMachines: [['a', 0.324]],
		servingRevision: revision,
		loads: {'e-1': [1, 20, 30]},
		retries: {s: {requests: 5, retries: 1, active: 2, recent: 3}},
		limits: {'e-1/1': {perSecond: 4.5, ageMs: 10, sent: 2}},
		brittle: {'e-1/1': {ageMs: 10, sent: 0}},
		floods: {'e-1/1': 10},
		relays: ['10.0.1.2:80'],
	},
	convicted: ['k-1'],
	suspects: ['k-2'],
};
const least: ControlReport = {
	version: 0,
	controls: [],
	entries: 0,
	known: revision,
	backends: [],
	convicted: [],
};

describe('decodeControlReport', () => {
	it.each([report, least])('keeps all of a sound report', (sound) => {
		expect(decodeControlReport(structuredClone(sound))).toEqual(sound);
	});

	it.each([
		undefined,
		null,
		'report',
		7,
		[],
		[report],
		{},
		{...report, version: '4'},
		{...report, version: 1e300},
		{...report, version: -1},
		{...report, known: undefined},
		{...report, known: {epoch: '1', revision: 3}},
		{...report, known: null},
	])('finds no report in %j', (value) => {
		expect(decodeControlReport(value)).toBeUndefined();
	});

	it('keeps what an earlier build sends when it leaves fields out', () => {
		expect(decodeControlReport({version: 0, known: revision})).toEqual(least);
	});

	it.each<[string, Record<string, unknown>, Partial<ControlReport>]>([
		[
			'addresses',
			{controls: ['10.0.0.1:80800', 5, null, {}, '10.0.0.2:1']},
			{controls: ['10.0.0.2:1']},
		],
		['a list that is none', {controls: 'no', convicted: {}}, {}],
		[
			'texts',
			{convicted: ['a', 1, null], suspects: [{}]},
			{convicted: ['a'], suspects: []},
		],
		['counts', {entries: 1e300, readyCount: -1, agesAboveMs: '1'}, {}],
		['a large count', {entries: 1e9}, {entries: 100_000}],
		['ages', {agesMs: {a: 1, b: 'x', c: null, d: -1}}, {agesMs: {a: 1}}],
		['nested ages', {agesMs: [[[]]]}, {}],
		['records that are no list', {backends: {}}, {}],
		['an overview that is none', {overview: 'all'}, {}],
		[
			'parts of an overview',
			{
				overview: {
					serving: [null, '10.0.1.1:80'],
					servingMachines: [['a', 1], ['b']],
					servingRevision: {},
					loads: {a: [1, 2, 3], b: null, c: [1, 2], d: ['1', 2, 3]},
					retries: {s: {requests: 1, retries: 0}, t: {}, u: null},
					limits: {'a/1': {ageMs: 1, sent: 1}, 'b/1': {sent: 1}, 'c/1': 5},
					brittle: [],
					floods: 'all',
					relays: {},
				},
			},
			{
				overview: {
					serving: ['10.0.1.1:80'],
					loads: {a: [1, 2, 3]},
					retries: {s: {requests: 1, retries: 0}},
					limits: {'a/1': {ageMs: 1, sent: 1}},
				},
			},
		],
	])('leaves out only what is of another shape: %s', (_, change, expected) => {
		expect(decodeControlReport({...least, ...change})).toEqual({
			...least,
			...expected,
		});
	});
});
