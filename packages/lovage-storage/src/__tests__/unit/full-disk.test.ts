// Guards against descriptors that are used up by a disk that stays full: the folder is
// opened again twice a second.
import {expect, it} from 'vitest';
import {
	type AppendFile,
	createFileAtomically,
	type FileSystem,
	openStore,
} from '../../index.js';
import {createMemoryFileSystem} from './memory-file-system.js';

/** A file system whose disk can be full, with the number of files that are open. */
function createFullableDisk() {
	const memory = createMemoryFileSystem();
	let isFull = false;
	let openFiles = 0;
	const fileSystem: FileSystem = {
		...memory,
		async openAppend(path): Promise<AppendFile> {
			const file = await memory.openAppend(path);
			openFiles += 1;
			return {
				...file,
				async append(data) {
					if (isFull) {
						throw new Error('ENOSPC');
					}

					await file.append(data);
				},
				async close() {
					openFiles -= 1;
					await file.close();
				},
			};
		},
	};
	return {
		fileSystem,
		fill() {
			isFull = true;
		},
		countOpen: () => openFiles,
	};
}

it('a store whose disk is full leaves no file open', async () => {
	const disk = createFullableDisk();
	const failures: Error[] = [];
	const opened = await openStore({
		folder: 'data',
		fileSystem: disk.fileSystem,
		processes: {nameSelf: async () => '1', isRunning: async () => false},
		listener: {
			onSynced: () => undefined,
			onFailure: (cause) => failures.push(cause),
		},
	});
	disk.fill();
	const {store} = opened._unsafeUnwrap();
	store.write({
		kind: 'persist',
		sequence: 1,
		hardState: {term: 1},
		entries: [],
	});
	await expect.poll(() => failures.length).toBe(1);
	expect(disk.countOpen()).toBe(0);
});

it('a file that can not be written whole is not left open', async () => {
	const disk = createFullableDisk();
	disk.fill();
	await expect(
		createFileAtomically(disk.fileSystem, 'data', 'file', new Uint8Array(1)),
	).rejects.toThrow('ENOSPC');
	expect(disk.countOpen()).toBe(0);
});
