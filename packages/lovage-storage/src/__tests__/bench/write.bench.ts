import {rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {bench, describe} from 'vitest';
import {openStore} from '../../index.js';

const BATCH = 100;

async function createWriter() {
	const folder = path.join(os.tmpdir(), 'lovage-storage-bench');
	await rm(folder, {recursive: true, force: true});
	let sequence = 0;
	let index = 0;
	let resolve: () => void = () => undefined;
	const listener = {
		onSynced(synced: number) {
			if (synced === sequence) {
				resolve();
			}
		},
		onFailure(cause: Error) {
			throw cause;
		},
	};
	const opened = await openStore({folder, listener});
	const {store} = opened._unsafeUnwrap();
	return async (writes: number): Promise<void> =>
		new Promise((_resolve) => {
			resolve = _resolve;
			const data = 'x'.repeat(300);
			Array.from({length: writes}).forEach(() => {
				sequence += 1;
				index += 1;
				const entry = {kind: 'command', index, term: 1, data} as const;
				store.write({kind: 'persist', sequence, entries: [entry]});
			});
		});
}

describe('writes to a real folder until synced', async () => {
	const write = await createWriter();

	bench('one write', async () => {
		await write(1);
	});

	bench(`${BATCH} concurrent writes`, async () => {
		await write(BATCH);
	});
});
