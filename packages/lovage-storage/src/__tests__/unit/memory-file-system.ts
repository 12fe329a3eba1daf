import type {AppendFile, FileSystem} from '../../index.js';

type File = {content: Uint8Array; synced: number};

function concatenate(first: Uint8Array, second: Uint8Array): Uint8Array {
	const joined = new Uint8Array(first.length + second.length);
	joined.set(first);
	joined.set(second, first.length);
	return joined;
}

/** Creates an in-memory file system that loses unsynced data in a power cut. */
export function createMemoryFileSystem() {
	let names = new Map<string, File>();
	let syncedNames = new Map<string, File>();
	let callsLeft = Infinity;

	const countCall = (): void => {
		callsLeft -= 1;
		if (callsLeft < 0) {
			throw new Error('power cut');
		}
	};

	const findFile = (path: string): File => {
		const file = names.get(path) ?? {content: new Uint8Array(), synced: 0};
		names.set(path, file);
		return file;
	};

	const openAppend = async (path: string): Promise<AppendFile> => {
		countCall();
		const file = findFile(path);
		return {
			async append(data) {
				countCall();
				file.content = concatenate(file.content, data);
			},
			async sync() {
				countCall();
				file.synced = file.content.length;
			},
			async close() {
				countCall();
			},
		};
	};

	const fileSystem: FileSystem = {
		async createFolder() {
			countCall();
		},
		async list(folder) {
			countCall();
			return [...names.keys()]
				.filter((path) => path.startsWith(`${folder}/`))
				.map((path) => path.slice(folder.length + 1).split('/')[0]!);
		},
		async read(path) {
			countCall();
			return names.get(path)?.content;
		},
		openAppend,
		async createExclusive(path, content) {
			countCall();
			const isFree = !names.has(path);
			if (isFree) {
				findFile(path).content = new TextEncoder().encode(content);
			}

			return isFree;
		},
		async truncate(path, length) {
			countCall();
			const file = findFile(path);
			file.content = file.content.slice(0, length);
			file.synced = length;
		},
		async rename(from, to) {
			countCall();
			const file = findFile(from);
			names.delete(from);
			names.set(to, file);
		},
		async remove(path) {
			countCall();
			names.delete(path);
		},
		async syncFolder() {
			countCall();
			syncedNames = new Map(names);
		},
	};

	return {
		...fileSystem,
		/** Makes every file operation fail after this many more operations. */
		failAfter(calls: number): void {
			callsLeft = calls;
		},
		/** Simulates a power cut: a share of the unsynced bytes survives, and all or none of the unsynced names. */
		cutPower(survivingShare: number, keepsNames: boolean): void {
			callsLeft = Infinity;
			names = new Map(keepsNames ? names : syncedNames);
			names.forEach((file) => {
				const unsynced = file.content.length - file.synced;
				const kept = file.synced + Math.floor(unsynced * survivingShare);
				file.content = file.content.slice(0, kept);
				file.synced = kept;
			});
			syncedNames = new Map(names);
		},
		/** Inverts one byte of a file. */
		corruptByte(path: string, position: number): void {
			const {content} = findFile(path);
			content[position] = 255 - (content[position] ?? 0);
		},
		truncateFile(path: string, length: number): void {
			const file = findFile(path);
			file.content = file.content.slice(0, length);
			file.synced = Math.min(file.synced, length);
		},
		getFileLength: (path: string) => names.get(path)?.content.length ?? 0,
		listPaths: () => [...names.keys()].toSorted(),
	};
}
