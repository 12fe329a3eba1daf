import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {AgedRecord} from '@lovagevalve/dispatch';
import {describe, expect, it} from 'vitest';
import {
	createDepartureFile,
	createDepartureStore,
	type DepartureStore,
} from '../../departure-store.js';

const noop = (): undefined => undefined;

const departure: AgedRecord = {
	id: 'e-1',
	service: 'model',
	address: '10.0.0.1:80',
	dataCentre: 'a',
	state: 'gone',
	slots: 4,
	bornAt: 1000,
	sequence: 3,
	ageMs: 50,
};

async function createFolder(): Promise<string> {
	return mkdtemp(path.join(tmpdir(), 'lovage-departures-'));
}

function createTestStore(
	folder: string,
	wall: number,
	departures: readonly AgedRecord[] = [],
	warnings: string[] = [],
): DepartureStore {
	const warn = (message: string): void => {
		warnings.push(message);
	};

	return createDepartureStore({
		clock: {now: () => 500_000, wall: () => wall},
		log: {debug: noop, info: noop, warn, error: warn},
		file: createDepartureFile(folder),
		listDepartures: () => departures,
	});
}

// Departures were kept in memory only, so a group whose processes were all killed took a
// backend server that had said that it leaves for ready again.
describe('a departure that was acknowledged', () => {
	it('is known after a restart, with the time in between', async () => {
		const folder = await createFolder();
		const before = createTestStore(folder, 10_000, [departure]);
		expect(await before.store()).toBe(true);
		const {ageMs, ...rest} = departure;
		expect(await createTestStore(folder, 11_000).load()).toEqual([
			{...rest, heardAt: 500_000 - 1000 - ageMs},
		]);
	});

	it('is dropped once its record would have been', async () => {
		const folder = await createFolder();
		await createTestStore(folder, 10_000, [departure]).store();
		expect(await createTestStore(folder, 131_000).load()).toEqual([]);
	});

	it('is stored with those that are announced during a write', async () => {
		const folder = await createFolder();
		const departures = [departure];
		const store = createTestStore(folder, 10_000, departures);
		const first = store.store();
		departures.push({...departure, id: 'e-2', address: '10.0.0.2:80'});
		await Promise.all([first, store.store(), store.store()]);
		expect(await createTestStore(folder, 10_000).load()).toHaveLength(2);
	});

	it('counts as not stored, with a line in the log, if the disk fails', async () => {
		const warnings: string[] = [];
		const file = path.join(await createFolder(), 'no-folder');
		await writeFile(file, '');
		const store = createTestStore(file, 10_000, [departure], warnings);
		expect(await store.store()).toBe(false);
		expect(warnings).toEqual(['Failed to store which backend servers leave.']);
	});

	it.each(['', '{', '[]', '{"at":1,"records":[{}]}', '{"at":1,"records":7}'])(
		'is not read from a damaged file: %s',
		async (content) => {
			const folder = await createFolder();
			await writeFile(path.join(folder, 'departures.json'), content);
			const warnings: string[] = [];
			const store = createTestStore(folder, 10_000, [], warnings);
			expect(await store.load()).toEqual([]);
			expect(warnings).toEqual(['Failed to read which backend servers leave.']);
		},
	);
});
