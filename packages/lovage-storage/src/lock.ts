import {readFile} from 'node:fs/promises';
import process from 'node:process';
import type {FileSystem} from './file-system.js';
import {joinPath, LOCK_FILE_NAME} from './file-names.js';

/** Identifies processes, so that a stale lock of an ended process can be replaced. */
export type ProcessTable = Readonly<{
	/** Returns a name of this process that no later process of the machine gets. */
	nameSelf: () => Promise<string>;
	/** Whether the process with this name is still running. */
	isRunning: (name: string) => Promise<boolean>;
}>;

/** Position of the start time among the fields of `/proc/<pid>/stat` after the command. */
const START_TIME_INDEX = 19;
const BOOT_ID_PATH = '/proc/sys/kernel/random/boot_id';

/** Combines process ID, start time and boot ID, because process IDs are reused. */
async function readProcessIdentity(pid: string): Promise<string | undefined> {
	try {
		const boot = await readFile(BOOT_ID_PATH, 'utf8');
		const status = await readFile(`/proc/${pid}/stat`, 'utf8');
		// The second field is the command in parentheses and may contain spaces.
		const fields = status.slice(status.lastIndexOf(')') + 2).split(' ');
		return [pid, fields[START_TIME_INDEX], boot.trim()].join(' ');
	} catch {
		return undefined;
	}
}

/** Identifies processes by `/proc`, which is available on Linux only. */
export const linuxProcesses: ProcessTable = {
	async nameSelf() {
		const pid = String(process.pid);
		return (await readProcessIdentity(pid)) ?? pid;
	},
	async isRunning(name) {
		const [pid] = name.split(' ');
		const found = await readProcessIdentity(pid ?? '');
		return found === name;
	},
};

async function readHolder(
	fileSystem: FileSystem,
	path: string,
): Promise<string> {
	const content = await fileSystem.read(path);
	return new TextDecoder().decode(content ?? new Uint8Array());
}

/** Acquires the lock of a folder; returns the holder if another process has the lock. */
export async function acquireLock(
	fileSystem: FileSystem,
	folder: string,
	processes: ProcessTable,
): Promise<string | undefined> {
	const path = joinPath(folder, LOCK_FILE_NAME);
	const self = await processes.nameSelf();
	if (await fileSystem.createExclusive(path, self)) {
		return undefined;
	}

	const holder = await readHolder(fileSystem, path);
	if (await processes.isRunning(holder)) {
		return holder;
	}

	await fileSystem.remove(path);
	const isCreated = await fileSystem.createExclusive(path, self);
	const currentHolder = await readHolder(fileSystem, path);
	return isCreated && currentHolder === self ? undefined : currentHolder;
}

/** Releases the lock of a folder. */
export async function releaseLock(
	fileSystem: FileSystem,
	folder: string,
): Promise<void> {
	await fileSystem.remove(joinPath(folder, LOCK_FILE_NAME));
}
