import {appendFile, mkdtemp, readdir, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {nodeFileSystem} from '@lovagevalve/storage';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {
	createOriginLog,
	type OriginLog,
	type StoredOrigin,
} from '../../index.js';

const KEEP_MS = 30_000;

let folder = '';
const time = {now: 1_000_000};
const clock = {wall: () => time.now};

beforeEach(async () => {
	time.now = 1_000_000;
	folder = await mkdtemp(path.join(tmpdir(), 'lovage-origins-'));
});

afterEach(async () => {
	await rm(folder, {recursive: true});
});

const createOrigin = (key: string): StoredOrigin => [
	key,
	'model',
	'v1',
	time.now + KEEP_MS,
];

const opened: OriginLog[] = [];

afterEach(async () => {
	await Promise.all(opened.splice(0).map(async ({close}) => close()));
});

async function start() {
	const log = createOriginLog(clock, folder);
	opened.push(log);
	const loaded = await log.load();
	return {log, loaded: loaded._unsafeUnwrap()};
}

// A control instance that forgets them refuses callers whose version still serves.
describe('origins of streams after a restart', () => {
	it('are known as before, in their order', async () => {
		const {log} = await start();
		const origins: readonly StoredOrigin[] = [
			createOrigin('a'),
			['b', 'model', 'v2', time.now + KEEP_MS, 'e-1/1', time.now],
		];
		await log.append(origins.slice(0, 1));
		time.now += 20_000;
		await log.append(origins.slice(1));
		const {loaded} = await start();
		expect(loaded).toEqual(origins);
	});

	it('are those that callers can still resume, and files of others are removed', async () => {
		const {log} = await start();
		await log.append([createOrigin('a')]);
		time.now += KEEP_MS - 1;
		await log.append([createOrigin('b')]);
		time.now += 1;
		const {loaded} = await start();
		expect(loaded.map(([key]) => key)).toEqual(['b']);
		expect(await readdir(folder)).toEqual(['stream-origins-2.jsonl']);
	});

	// A cut version name would name another version.
	it.each([
		['a torn line', '["c","model","v'],
		['a line without its end', '["c","model","v1",1000000'],
		['bytes that are no JSON', '\0\0\0\n'],
		['a value that is no origin', '{"key":"c"}\n["c","model","v1"]\n'],
	])('leave out %s', async (_, text) => {
		const {log} = await start();
		const origin = createOrigin('a');
		await log.append([origin]);
		await appendFile(path.join(folder, 'stream-origins-1.jsonl'), text);
		const restarted = await start();
		const next = createOrigin('b');
		await restarted.log.append([next]);
		const {loaded} = await start();
		expect(loaded).toEqual([origin, next]);
	});

	it('are bounded on disk; the oldest are removed first', async () => {
		const {log} = await start();
		for (let batch = 0; batch < 7; batch += 1) {
			const until = time.now + 900_000;
			// eslint-disable-next-line no-await-in-loop -- one file after the other
			await log.append(
				Array.from({length: 50_000}, (__, i) => [
					`${batch}-${i}`,
					'model',
					'v1',
					until,
				]),
			);
			time.now += 15_000;
		}

		// Four full files and the one that is being written.
		expect(await readdir(folder)).toHaveLength(5);
	});

	it('are stored in a new file after a full disk', async () => {
		let isFull = false;
		const log = createOriginLog(clock, folder, {
			...nodeFileSystem,
			async openAppend(name) {
				const file = await nodeFileSystem.openAppend(name);
				return {
					...file,
					async append(data) {
						await file.append(isFull ? data.subarray(0, 9) : data);
						if (isFull) {
							throw new Error('no space left');
						}
					},
				};
			},
		});
		opened.push(log);
		await log.load();
		const first = createOrigin('a');
		const last = createOrigin('c');
		await log.append([first]);
		isFull = true;
		const failed = await log.append([createOrigin('b')]);
		isFull = false;
		await log.append([last]);
		expect(failed.isErr()).toBe(true);
		const {loaded} = await start();
		expect(loaded).toEqual([first, last]);
	});
});
