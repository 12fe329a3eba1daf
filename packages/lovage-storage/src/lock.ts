import {readFile} from 'node:fs/promises';
import process from 'node:process';
import type {FileSystem} from './file-system.js';
import {joinPath, LOCK_FILE_NAME} from './file-names.js';

/** Tells processes apart, so that a lock which its holder left can be taken. */
export type ProcessTable = Readonly<{
	/** Names this process; no later process of the machine has this name. */
	nameSelf: () => Promise<string>;
	/** Whether the process of this name still runs. */
	isRunning: (name: string) => Promise<boolean>;
}>;

const START_TIME_INDEX = 19;
const BOOT_ID_PATH = '/proc/sys/kernel/random/boot_id';

/** Names a process by what no later process shares: id, start time and boot. */
async function readProcessIdentity(pid: string): Promise<string | undefined> {
	try {
		const boot = await readFile(BOOT_ID_PATH, 'utf8');
		const status = await readFile(`/proc/${pid}/stat`, 'utf8');
		// The second field is the command in brackets and may hold blanks.
		const fields = status.slice(status.lastIndexOf(')') + 2).split(' ');
		return [pid, fields[START_TIME_INDEX], boot.trim()].join(' ');
	} catch {
		return undefined;
	}
}

/** The processes of a Linux machine. */
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

/** Takes the lock of a folder; returns the holder if another process has it. */
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

/** Gives the lock of a folder back. */
export async function releaseLock(
	fileSystem: FileSystem,
	folder: string,
): Promise<void> {
	await fileSystem.remove(joinPath(folder, LOCK_FILE_NAME));
}
