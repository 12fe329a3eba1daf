import {
	mkdir,
	open,
	readdir,
	readFile,
	rename,
	rm,
	writeFile,
} from 'node:fs/promises';
import type {AppendFile, FileSystem} from './file-system.js';

function hasCode(err: unknown, code: string): boolean {
	return err instanceof Error && 'code' in err && err.code === code;
}

async function openAppend(path: string): Promise<AppendFile> {
	const handle = await open(path, 'a');
	return {
		append: async (data) => handle.appendFile(data),
		sync: async () => handle.datasync(),
		close: async () => handle.close(),
	};
}

async function truncate(path: string, length: number): Promise<void> {
	const handle = await open(path, 'r+');
	try {
		await handle.truncate(length);
		await handle.sync();
	} finally {
		await handle.close();
	}
}

async function syncFolder(path: string): Promise<void> {
	const handle = await open(path, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}

async function read(path: string): Promise<Uint8Array | undefined> {
	try {
		return await readFile(path);
	} catch (error) {
		if (hasCode(error, 'ENOENT')) {
			return undefined;
		}

		throw error;
	}
}

async function createExclusive(
	path: string,
	content: string,
): Promise<boolean> {
	try {
		await writeFile(path, content, {flag: 'wx'});
		return true;
	} catch (error) {
		if (hasCode(error, 'EEXIST')) {
			return false;
		}

		throw error;
	}
}

/** File operations of the operating system. */
export const nodeFileSystem: FileSystem = {
	async createFolder(path) {
		await mkdir(path, {recursive: true});
	},
	list: async (path) => readdir(path),
	read,
	openAppend,
	createExclusive,
	truncate,
	rename: async (from, to) => rename(from, to),
	remove: async (path) => rm(path, {force: true}),
	syncFolder,
};
