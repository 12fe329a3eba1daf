import process from 'node:process';
import {type BackendRecord, mergeRecords} from '@lovagevalve/dispatch';
import {expect, it} from 'vitest';
import type {Registry} from '../../index.js';
import {
	createReport,
	createTestRegistry,
	READY_RECORD,
} from './test-registry.js';

// Each registration copied and searched the whole table, so that N of them cost N squared
// and held up the exchanges of all other callers.

const clock = {now: () => 0, wall: () => 0};
const SMALL = 512;
const FACTOR = 8;
/** A cost in proportion gives 8, one that grows with the square 64; the rest is noise. */
const MAX_GROWTH = 20;
/** Shorter times say more of the machine than of the code. */
const MIN_MS = 0.5;
const REPEATS = 9;
const US_PER_MS = 1000;

function createRecords(count: number): readonly BackendRecord[] {
	return Array.from({length: count}, (_, i) => ({
		...READY_RECORD,
		id: `e-${i}`,
		address: `10.0.${Math.floor(i / 256)}.${i % 256}:80`,
		softwareVersion: 'v1',
	}));
}

const createEmptyRegistry = (): Registry => createTestRegistry(clock).registry;

/** Work of a number of records, as a function that does it again each time. */
const WORK: ReadonlyArray<
	readonly [name: string, prepare: (count: number) => () => unknown]
> = [
	[
		'registrations of new backend servers, one by one',
		(count) => {
			const records = createRecords(count);
			return () => {
				const registry = createEmptyRegistry();
				records.forEach((record) => registry.register(record));
			};
		},
	],
	[
		'heartbeats',
		(count) => {
			const records = createRecords(count);
			const registry = createEmptyRegistry();
			registry.restore(records);
			return () => {
				records.forEach((record) => registry.register(record));
			};
		},
	],
	[
		'restarts at the addresses of others',
		(count) => {
			const records = createRecords(count);
			const successors = records.map((record) => ({
				...record,
				id: `f-${record.id}`,
				bornAt: 2,
			}));
			return () => {
				const registry = createEmptyRegistry();
				registry.restore(records);
				successors.forEach((record) => registry.register(record));
			};
		},
	],
	[
		'registrations that another control instance tells',
		(count) => {
			const records = createRecords(count).map(({heardAt, ...rest}) => ({
				...rest,
				ageMs: heardAt,
			}));
			return () => {
				createEmptyRegistry().merge(records);
			};
		},
	],
	[
		'departures that an entry tells',
		(count) => {
			const records = createRecords(count);
			const leaving = records.map(({id, bornAt}) => `${id}/${bornAt + 1}`);
			const registry = createEmptyRegistry();
			registry.restore(records);
			return () => {
				registry.applyReport(
					createReport('entry-1', {leaving, wantsOverview: false}),
				);
			};
		},
	],
	[
		'records that a control instance tells an entry',
		(count) => {
			const records = createRecords(count);
			return () => mergeRecords(new Map(), records);
		},
	],
];

function measureMs(work: () => unknown): number {
	const times = Array.from({length: REPEATS}, () => {
		// Processor time: a busy machine interrupts long work more often than short work. It
		// counts threads that collect garbage and compile, so the least of the runs is taken.
		const startedAt = process.cpuUsage();
		work();
		const {user, system} = process.cpuUsage(startedAt);
		return (user + system) / US_PER_MS;
	});
	return Math.min(...times);
}

function measureGrowth(prepare: (count: number) => () => unknown): number {
	const small = Math.max(MIN_MS, measureMs(prepare(SMALL)));
	return measureMs(prepare(SMALL * FACTOR)) / small;
}

it.each(WORK)('takes %s at a cost in proportion', (_, prepare) => {
	expect(measureGrowth(prepare)).toBeLessThan(MAX_GROWTH);
});

it('finds a cost that grows with the square', () => {
	const growth = measureGrowth((count) => {
		const names = Array.from({length: count}, (_, i) => `name-${i}`);
		return () => names.filter((name) => names.includes(`${name}-`));
	});
	expect(growth).toBeGreaterThan(MAX_GROWTH);
});
