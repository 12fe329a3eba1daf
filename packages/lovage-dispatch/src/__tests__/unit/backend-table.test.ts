import {describe, expect, it} from 'vitest';
import {
	type BackendRecord,
	type BackendTable,
	dropOldRecords,
	mergeRecords,
} from '../../index.js';

const record: BackendRecord = {
	id: 'e-1',
	service: 'model',
	address: '10.0.0.1:80',
	dataCentre: 'a',
	state: 'ready',
	slots: 8,
	bornAt: 1000,
	sequence: 4,
	heardAt: 10,
};

function mergeAll(...records: readonly BackendRecord[]): BackendTable {
	return records.reduce<BackendTable>(
		(table, next) => mergeRecords(table, [next]).table,
		new Map(),
	);
}

describe('mergeRecords', () => {
	it('ignores a registration that arrives after a newer one', () => {
		const table = mergeAll(
			{...record, state: 'draining', sequence: 5},
			{...record, sequence: 4},
		);
		expect(table.get('e-1')?.state).toBe('draining');
	});

	it('ignores a registration of an earlier incarnation', () => {
		const table = mergeAll(
			{...record, bornAt: 2000, sequence: 1},
			{...record, sequence: 90, state: 'draining'},
		);
		expect(table.get('e-1')).toMatchObject({bornAt: 2000, state: 'ready'});
	});

	it('accepts a restart with the same id, whose sequence restarts', () => {
		const table = mergeAll(
			{...record, state: 'gone'},
			{...record, bornAt: 2000, sequence: 1},
		);
		expect(table.get('e-1')).toMatchObject({bornAt: 2000, state: 'ready'});
	});

	it('keeps an ended incarnation ended when a delayed registration arrives', () => {
		const table = mergeAll(
			record,
			{...record, state: 'gone'},
			{...record, sequence: 9},
		);
		expect(table.get('e-1')?.state).toBe('gone');
	});

	it('keeps a draining incarnation draining when it registers as ready again', () => {
		const table = mergeAll(
			{...record, state: 'draining', sequence: 5},
			{...record, sequence: 6, heardAt: 900},
		);
		expect(table.get('e-1')).toMatchObject({state: 'draining', heardAt: 900});
	});

	it('does not end a newer incarnation when the end of an older one arrives late', () => {
		const table = mergeAll(
			{...record, bornAt: 2000},
			{...record, state: 'gone', sequence: 99},
		);
		expect(table.get('e-1')?.state).toBe('ready');
	});

	it('ends the previous owner of an address', () => {
		const table = mergeAll(record, {
			...record,
			id: 'e-2',
			service: 'desk',
			bornAt: 3000,
		});
		expect(table.get('e-1')?.state).toBe('gone');
		expect(table.get('e-2')?.state).toBe('ready');
	});

	it('treats a delayed registration of the previous address owner as its end', () => {
		const table = mergeAll(
			{...record, id: 'e-2', service: 'desk', bornAt: 3000},
			record,
		);
		expect(table.get('e-1')?.state).toBe('gone');
		expect(table.get('e-2')?.state).toBe('ready');
	});

	it('keeps the latest registration time when an older copy arrives', () => {
		const table = mergeAll({...record, heardAt: 50}, {...record, heardAt: 20});
		expect(table.get('e-1')?.heardAt).toBe(50);
	});
});

describe('dropOldRecords', () => {
	it('drops records without recent registrations', () => {
		const table = mergeAll(record, {
			...record,
			id: 'e-2',
			address: '10.0.0.2:80',
			heardAt: 200_000,
		});
		expect([...dropOldRecords(table, 200_000).keys()]).toEqual(['e-2']);
	});
});
