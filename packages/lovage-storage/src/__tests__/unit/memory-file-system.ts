import type {AppendFile, FileSystem} from '../../index.js';

type File = {content: Uint8Array; synced: number};

function join(first: Uint8Array, second: Uint8Array): Uint8Array {
	const joined = new Uint8Array(first.length + second.length);
	joined.set(first);
	joined.set(second, first.length);
	return joined;
}

/** Files in memory: what was not synced is lost in a power cut. */
export function createMemoryFileSystem() {
	let names = new Map<string, File>();
	let syncedNames = new Map<string, File>();
	let callsLeft = Infinity;

	const count = (): void => {
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
		count();
		const file = findFile(path);
		return {
			async append(data) {
				count();
				file.content = join(file.content, data);
			},
			async sync() {
				count();
				file.synced = file.content.length;
			},
			async close() {
				count();
			},
		};
	};

	const fileSystem: FileSystem = {
		async makeFolder() {
			count();
		},
		async list(folder) {
			count();
			return [...names.keys()]
				.filter((path) => path.startsWith(`${folder}/`))
				.map((path) => path.slice(folder.length + 1).split('/')[0]!);
		},
		async read(path) {
			count();
			return names.get(path)?.content;
		},
		openAppend,
		async createExclusive(path, content) {
			count();
			const isFree = !names.has(path);
			if (isFree) {
				findFile(path).content = new TextEncoder().encode(content);
			}

			return isFree;
		},
		async truncate(path, length) {
			count();
			const file = findFile(path);
			file.content = file.content.slice(0, length);
			file.synced = length;
		},
		async rename(from, to) {
			count();
			const file = findFile(from);
			names.delete(from);
			names.set(to, file);
		},
		async remove(path) {
			count();
			names.delete(path);
		},
		async syncFolder() {
			count();
			syncedNames = new Map(names);
		},
	};

	return {
		...fileSystem,
		/** Lets file calls fail after as many more. */
		failAfter(calls: number): void {
			callsLeft = calls;
		},
		/** Cuts the power; of unsynced bytes a share survives, of names all or none. */
		cutPower(share: number, keepsNames: boolean): void {
			callsLeft = Infinity;
			names = new Map(keepsNames ? names : syncedNames);
			names.forEach((file) => {
				const unsynced = file.content.length - file.synced;
				const kept = file.synced + Math.floor(unsynced * share);
				file.content = file.content.slice(0, kept);
				file.synced = kept;
			});
			syncedNames = new Map(names);
		},
		/** Changes one byte that had been synced. */
		corrupt(path: string, position: number): void {
			const {content} = findFile(path);
			content[position] = 255 - (content[position] ?? 0);
		},
		cutFile(path: string, length: number): void {
			const file = findFile(path);
			file.content = file.content.slice(0, length);
			file.synced = Math.min(file.synced, length);
		},
		measure: (path: string) => names.get(path)?.content.length ?? 0,
		listAll: () => [...names.keys()].toSorted(),
	};
}
