import {err, ok, type Result} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {
	createVersionHistory,
	type StoredVersions,
	type VersionFile,
} from '../../index.js';
import {READY_RECORD, silentLogger as log} from './test-registry.js';

/** All backend servers that serve have registered once in this time. */
const CATCH_UP_MS = 1000;

const record = {...READY_RECORD, softwareVersion: 'v1'};

/** A file in memory, and processes that are started on it one after the other. */
function createDisk() {
	const time = {now: 1_000_000};
	const clock = {now: () => time.now, wall: () => time.now};
	const disk: {
		loaded: Result<StoredVersions | undefined, string>;
		saves: number;
		isFull: boolean;
	} = {loaded: ok(undefined), saves: 0, isFull: false};
	const file: VersionFile = {
		load: async () => disk.loaded,
		async save(state) {
			disk.saves += 1;
			if (disk.isFull) {
				return err('no space left');
			}

			disk.loaded = ok(state);
			return ok();
		},
	};

	return {
		time,
		disk,
		async start(isFirstStart = false) {
			const history = createVersionHistory({
				clock,
				log,
				file,
				isFirstStart,
				catchUpMs: CATCH_UP_MS,
			});
			await history.load();
			return history;
		},
	};
}

/** Starts a system and stores that it has known one version. */
async function createUsedDisk() {
	const used = createDisk();
	const history = await used.start(true);
	history.update([record]);
	await history.maintain();
	return used;
}

describe('software versions after a restart', () => {
	it('are known as before', async () => {
		const {time, start} = await createUsedDisk();
		time.now += 20_000;
		const history = await start();
		expect(history.describe('model')).toEqual({v1: 0});
		time.now += CATCH_UP_MS;
		expect(history.readKnownForMs()).toBe(Number.MAX_SAFE_INTEGER);
	});

	// The version that it missed has begun streams, and registers again.
	it('are not complete before one that was not stored can have registered', async () => {
		const {time, start} = await createUsedDisk();
		const history = await start();
		time.now += CATCH_UP_MS - 1;
		expect(history.readKnownForMs()).toBe(0);
	});

	// Registrations went to other control instances while this one was frozen.
	it('are not complete just after the process stood still', async () => {
		const {time, start} = await createUsedDisk();
		const history = await start();
		time.now += CATCH_UP_MS;
		history.update([record]);
		expect(history.readKnownForMs()).toBe(Number.MAX_SAFE_INTEGER);
		time.now += 5000;
		history.update([record]);
		expect(history.readKnownForMs()).toBe(0);
		time.now += CATCH_UP_MS;
		history.update([record]);
		expect(history.readKnownForMs()).toBe(Number.MAX_SAFE_INTEGER);
	});

	it.each([
		['a long absence', 61_000],
		['a clock that was set back', -1000],
	])('are not complete after %s', async (_, awayMs) => {
		const {time, start} = await createUsedDisk();
		time.now += awayMs;
		const history = await start();
		expect(history.describe('model')).toEqual({v1: 0});
		expect(history.readKnownForMs()).toBe(0);
	});

	it.each([
		['a lost disk', ok(undefined)],
		['a damaged file', err('torn')],
	])('are unknown after %s', async (_, loaded) => {
		const {disk, start} = await createUsedDisk();
		disk.loaded = loaded;
		const history = await start();
		expect(history.describe('model')).toEqual({});
		expect(history.readKnownForMs()).toBe(0);
	});

	it('are not stored while they are incomplete', async () => {
		const {time, disk, start} = await createUsedDisk();
		disk.loaded = ok(undefined);
		const history = await start();
		history.update([record]);
		await history.maintain();
		expect(disk.loaded).toEqual(ok(undefined));
		time.now += 900_000;
		history.update([record]);
		await history.maintain();
		expect(disk.loaded._unsafeUnwrap()?.versions).toEqual({model: ['v1']});
	});

	it('are stored at once when there is another one, else now and then', async () => {
		const {time, disk, start} = await createUsedDisk();
		const history = await start();
		history.update([record, {...record, id: 'e-2', softwareVersion: 'v2'}]);
		await history.maintain();
		await history.maintain();
		expect(disk.saves).toBe(2);
		time.now += 5000;
		await history.maintain();
		expect(disk.saves).toBe(3);
	});

	it('are stored again some time after a full disk', async () => {
		const {time, disk, start} = await createUsedDisk();
		const history = await start();
		disk.isFull = true;
		history.update([{...record, id: 'e-2', softwareVersion: 'v2'}]);
		await history.maintain();
		await history.maintain();
		expect(disk.saves).toBe(2);
		disk.isFull = false;
		time.now += 5000;
		await history.maintain();
		expect(disk.loaded._unsafeUnwrap()?.versions).toEqual({
			model: ['v1', 'v2'],
		});
	});
});
