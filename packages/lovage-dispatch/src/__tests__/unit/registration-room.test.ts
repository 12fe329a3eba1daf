import {describe, expect, it} from 'vitest';
import {
	decideRegistration,
	MAX_RECORDS,
	MAX_VERSIONS,
	type RegistrationUse,
} from '../../index.js';
import {READY_RECORD} from './ready-record.js';

const record = {...READY_RECORD, softwareVersion: 'v1'};
const full: RegistrationUse = {
	known: undefined,
	isKnownVersion: true,
	records: MAX_RECORDS,
	versions: MAX_VERSIONS,
};

describe('decideRegistration', () => {
	it('takes the last id and version that fit', () => {
		const use = {
			known: undefined,
			isKnownVersion: false,
			records: MAX_RECORDS - 1,
			versions: MAX_VERSIONS - 1,
		};
		expect(decideRegistration(use, record)).toBe('take');
	});

	it('refuses a further id, however many more were taken elsewhere', () => {
		expect(decideRegistration(full, record)).toBe('records-full');
		expect(
			decideRegistration({...full, records: MAX_RECORDS * 3}, record),
		).toBe('records-full');
	});

	it('refuses a further version of a new id and of a known one', () => {
		const use = {...full, records: 1, isKnownVersion: false};
		expect(decideRegistration(use, record)).toBe('versions-full');
		const known = {...record, softwareVersion: 'v0'};
		expect(decideRegistration({...use, known}, record)).toBe('versions-full');
	});

	// Its version counts as in service only from the next check of the table on.
	it.each([
		['a heartbeat', {sequence: 5}],
		['a heartbeat without a version', {softwareVersion: undefined}],
		['a departure', {state: 'draining'}],
		['a restart', {bornAt: 2000, sequence: 1}],
		['a new address', {address: '10.0.0.2:80'}],
	] as const)('takes %s of whoever is registered', (_name, change) => {
		const use = {...full, known: record, isKnownVersion: false};
		expect(decideRegistration(use, {...record, ...change})).toBe('take');
		expect(
			decideRegistration({...use, known: READY_RECORD}, READY_RECORD),
		).toBe('take');
	});
});
