import type {Logger, ChildError} from '@lovagevalve/runtime';
import {
	describeStoreError,
	type DiskStore,
	type OpenedStore,
	openStore,
	archiveDamagedStore,
	type StoreListener,
} from '@lovagevalve/storage';
import {err, ok, type Result} from 'neverthrow';

/** Writes durable state; the store's listener is called after each sync. */
export type DiskWriter = DiskStore;

/**
 * Opens the data folder. A damaged folder counts as a lost disk: its content is
 * archived, and the instance starts with a new replica ID.
 */
export async function openDataFolder(
	folder: string,
	listener: StoreListener,
	log: Logger,
): Promise<Result<OpenedStore, ChildError>> {
	const options = {folder, listener};
	const opened = await openStore(options);
	if (opened.isOk()) {
		const {isNew, cutBytes} = opened.value;
		log.info('Opened the data folder.', {folder, isNew, cutBytes});
		return ok(opened.value);
	}

	const message = describeStoreError(opened.error);
	if (opened.error.kind !== 'damaged') {
		return err({kind: 'disk', message});
	}

	log.error('Archiving the damaged data folder.', {folder, reason: message});
	const archived = await archiveDamagedStore(options);
	if (archived.isErr()) {
		return err({kind: 'disk', message: describeStoreError(archived.error)});
	}

	const reopened = await openStore(options);
	return reopened.mapErr((problem) => ({
		kind: 'disk',
		message: describeStoreError(problem),
	}));
}
