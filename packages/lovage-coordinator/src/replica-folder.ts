import process from 'node:process';
import type {Logger} from '@lovagevalve/runtime';
import {
	archiveDamagedStore,
	describeStoreError,
	type OpenedStore,
	openStore,
	type StoreListener,
} from '@lovagevalve/storage';

// The platform ends the previous process of a folder before it starts the next
// one.
const SINGLE_PROCESS_CHECK = {
	nameSelf: async () => String(process.pid),
	isRunning: async () => false,
};

/**
 * Opens the data folder of a replica; resolves with undefined if it is unavailable.
 * A damaged folder is treated as a lost disk: it is archived, and the next attempt
 * starts the replica with a new identity.
 */
export async function openReplicaFolder(
	folder: string,
	log: Logger,
	listener: StoreListener,
): Promise<OpenedStore | undefined> {
	const storeOptions = {folder, processes: SINGLE_PROCESS_CHECK, listener};
	const opened = await openStore(storeOptions);
	if (opened.isOk()) {
		return opened.value;
	}

	const {error} = opened;
	log.error('Failed to open the data folder.', {
		folder,
		reason: describeStoreError(error),
	});
	if (error.kind === 'damaged') {
		await archiveDamagedStore(storeOptions);
	}

	return undefined;
}
