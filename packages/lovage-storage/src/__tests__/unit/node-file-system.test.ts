import {mkdtemp, readdir, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {openStore, type OpenedStore} from '../../index.js';

let folder: string;

beforeEach(async () => {
	folder = await mkdtemp(path.join(os.tmpdir(), 'lovage-storage-'));
});

afterEach(async () => {
	await rm(folder, {recursive: true});
});

async function open(): Promise<OpenedStore> {
	const listener = {
		onSynced: () => undefined,
		onFailure(cause: Error) {
			throw cause;
		},
	};
	const opened = await openStore({folder, listener});
	return opened._unsafeUnwrap();
}

test('a real folder keeps snapshot, log and replica ID', async () => {
	const {store, recovered} = await open();
	const entry = {kind: 'command', index: 1, term: 1, data: 'é'} as const;
	const next = {...entry, index: 2};
	const snapshot = {index: 1, term: 1, members: [], data: 'state'};
	store.write({kind: 'persist', sequence: 1, entries: [entry, next]});
	store.write({
		kind: 'persist-snapshot',
		sequence: 2,
		snapshot,
		replacesLog: false,
	});
	await store.close();
	const again = await open();
	expect(again.recovered).toEqual({...recovered, snapshot, entries: [next]});
	await again.store.close();
	expect(await readdir(folder)).toEqual(['log-2', 'snapshot-2']);
});

test('a second store in the same folder is rejected', async () => {
	const {store} = await open();
	const listener = {onSynced: () => undefined, onFailure: () => undefined};
	const second = await openStore({folder, listener});
	expect(second._unsafeUnwrapErr().kind).toBe('locked');
	await store.close();
});
