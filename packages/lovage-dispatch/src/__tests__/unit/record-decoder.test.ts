import {describe, expect, it} from 'vitest';
import {parseSocketAddress} from '../../backend-address.js';
import {decodeRecord} from '../../record-decoder.js';

const record = {
	id: 'i-1',
	service: 'model',
	address: '10.128.0.9:8080',
	dataCentre: 'a',
	state: 'ready',
	softwareVersion: 'v1',
	slots: 64,
	bornAt: 1_700_000_000_000,
	sequence: 4,
	ageMs: 12.5,
};

describe('parseSocketAddress', () => {
	it.each([
		['0.0.0.1:1', {host: '0.0.0.1', port: 1}],
		['255.255.255.255:65535', {host: '255.255.255.255', port: 65_535}],
		['10.128.0.9:8080', {host: '10.128.0.9', port: 8080}],
	])('parses %s', (text, address) => {
		expect(parseSocketAddress(text)).toEqual(address);
	});

	it.each([
		'127.0.0.1:80800',
		'127.0.0.1:65536',
		'127.0.0.1:0',
		'127.0.0.1:-1',
		'127.0.0.1:1e3',
		'127.0.0.1:08080',
		'127.0.0.1',
		'127.0.0.1:',
		'256.0.0.1:80',
		'999.0.0.1:80',
		'010.0.0.1:80',
		'10.0.1:80',
		'10.0.0.0.1:80',
		'localhost:80',
		'[::1]:80',
		' 10.0.0.1:80',
		'10.0.0.1:80\n',
		'10.0.0.1:80/path',
		'',
		'x'.repeat(1_000_000),
		80,
		null,
		undefined,
		['10.0.0.1:80'],
		{},
	])('finds no address in %j', (value) => {
		expect(parseSocketAddress(value)).toBeUndefined();
	});
});

describe('decodeRecord', () => {
	it.each([
		{},
		{softwareVersion: undefined},
		{id: 'constructor'},
		{id: 'e/1 b'},
		{slots: 0, bornAt: 0, sequence: 0, ageMs: 0},
		{state: 'gone', slots: 65_536, sequence: Number.MAX_SAFE_INTEGER},
	])('keeps a record with %j', (change) => {
		const value = {...record, ...change};
		expect(decodeRecord(value)).toEqual({kind: 'sound', record: value});
	});

	it.each<Record<string, unknown>>([
		{id: ''},
		{id: 'i\n1'},
		{id: 'i-\u20AC'},
		{id: 'i-\u00E9'},
		{id: '\uD800'},
		{id: ' i-1'},
		{id: 'i-1 '},
		{id: 'i'.repeat(257)},
		{id: 7},
		{service: ''},
		{service: 's'.repeat(1_000_000)},
		{service: ['s']},
		{dataCentre: undefined},
		{dataCentre: {}},
		{address: '10.0.0.1:80800'},
		{state: 'dancing'},
		{state: 'constructor'},
		{softwareVersion: 1},
		{softwareVersion: null},
		{softwareVersion: 'v'.repeat(129)},
		{slots: 65_537},
		{slots: 1.5},
		{slots: -1},
		{slots: '64'},
		{bornAt: 1e300},
		{bornAt: 2 ** 53},
		{bornAt: null},
		{sequence: Number.POSITIVE_INFINITY},
		{sequence: 1e300},
		{sequence: -1},
		{ageMs: undefined},
		{ageMs: Number.NaN},
		{ageMs: Number.NEGATIVE_INFINITY},
	])('refuses a record with %j', (change) => {
		const [field = ''] = Object.keys(change);
		const decoded = decodeRecord({...record, ...change});
		expect(decoded.kind === 'refused' && decoded.reason).toContain(field);
	});

	it.each([null, undefined, 'record', 7, [], [record]])(
		'refuses %j instead of a record',
		(value) => {
			expect(decodeRecord(value).kind).toBe('refused');
		},
	);
});
