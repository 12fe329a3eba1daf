import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	type BackendRecord,
	type BackendTable,
	createBackendStore,
	dropOldRecords,
	isSameRegistration,
	mergeRecords,
} from '../../index.js';
import {READY_RECORD as record} from './ready-record.js';

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

function listChanged(
	before: BackendTable,
	after: BackendTable,
): readonly string[] {
	return [...after.values()]
		.filter((record) => {
			const known = before.get(record.id);
			return known === undefined || !isSameRegistration(known, record);
		})
		.map(({id}) => id)
		.toSorted();
}

describe('createBackendStore', () => {
	const records = fc.record({
		id: fc.constantFrom('e-1', 'e-2', 'e-3', 'e-4'),
		address: fc.constantFrom('10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80'),
		state: fc.constantFrom('ready', 'draining', 'gone'),
		bornAt: fc.nat(4),
		sequence: fc.nat(4),
		heardAt: fc.constantFrom(0, 50_000, 100_000),
	});

	// The addresses that it keeps are found anew in each copy of the table.
	it('holds the same as copies of the table, merge by merge', () => {
		fc.assert(
			fc.property(
				fc.array(fc.tuple(records, fc.constantFrom(0, 130_000, 200_000)), {
					maxLength: 40,
				}),
				(steps) => {
					const store = createBackendStore(new Map());
					steps.reduce<BackendTable>((table, [change, now]) => {
						const next = {...record, ...change};
						const merged = mergeRecords(table, [next]);
						const {outcomes, changedIds} = store.merge([next]);
						expect(outcomes).toEqual(merged.outcomes);
						expect([...store.table]).toEqual([...merged.table]);
						expect([...changedIds].toSorted()).toEqual(
							listChanged(table, merged.table),
						);
						store.dropOld(now);
						const kept = dropOldRecords(merged.table, now);
						expect([...store.table]).toEqual([...kept]);
						return kept;
					}, new Map());
				},
			),
			{numRuns: 2000},
		);
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
