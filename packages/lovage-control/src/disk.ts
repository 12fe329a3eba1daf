import type {Logger, ChildError} from '@lovagevalve/runtime';
import {
	describeProblem,
	type DiskStore,
	type OpenedStore,
	openStore,
	setStoreAside,
	type StoreListener,
} from '@lovagevalve/storage';
import {err, ok, type Result} from 'neverthrow';

/** Writes what must survive; the listener hears when it is synced. */
export type DiskWriter = DiskStore;

/**
 * Opens the data folder. One that is damaged counts as a lost disk: its content
 * is set aside, and the instance comes back under a new identity.
 */
export async function openDisk(
	folder: string,
	listener: StoreListener,
	log: Logger,
): Promise<Result<OpenedStore, ChildError>> {
	const options = {folder, listener};
	const opened = await openStore(options);
	if (opened.isOk()) {
		const {isNew, cutBytes} = opened.value;
		log.info('The data folder is open.', {folder, isNew, cutBytes});
		return ok(opened.value);
	}

	const message = describeProblem(opened.error);
	if (opened.error.kind !== 'damaged') {
		return err({kind: 'disk', message});
	}

	log.error('The data folder is set aside.', {folder, reason: message});
	const aside = await setStoreAside(options);
	if (aside.isErr()) {
		return err({kind: 'disk', message: describeProblem(aside.error)});
	}

	const again = await openStore(options);
	return again.mapErr((problem) => ({
		kind: 'disk',
		message: describeProblem(problem),
	}));
}
