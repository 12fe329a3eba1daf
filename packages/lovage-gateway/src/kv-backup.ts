import type {BackendRecord} from '@lovagevalve/dispatch';
import {sendBackendCommand} from './backend-command.js';
import type {GatewayContext} from './context.js';
import type {KvCopyReference} from './protocol.js';

/** Where a run can go on from a copy of its memory. */
export type BackupCopy = Readonly<{
	backend: BackendRecord;
	copy: KvCopyReference;
}>;

/** What the protection of one run works with. */
export type KvBackupOptions = Readonly<{
	ctx: GatewayContext;
	requestId: string;
	/** Backend server that runs the request. */
	backend: BackendRecord;
	/** Backend server that gets the memory as it grows, by the request itself. */
	initialBackup: BackendRecord | undefined;
	/** Whether the engines copy memory on order. */
	canCopy: boolean;
	/** Chooses another place for a copy. */
	chooseBackup: () => BackendRecord | undefined;
}>;

/** Keeps a copy of a run's memory at an engine that lives. */
export type KvBackup = Readonly<{
	/** Orders a copy where the former one is lost or getting old. */
	refresh: () => void;
	/** The copy to go on with; undefined if there is none that can be used. */
	findCopy: () => BackupCopy | undefined;
	/** Frees what was ordered. */
	release: () => void;
}>;

/** Engines drop an ordered copy after some seconds; each order sends only what is new. */
const REFRESH_INTERVAL_MS = 1500;
/** A failed order is not repeated at once. */
const RETRY_DELAY_MS = 700;

/**
 * Creates the protection of a run. Load pattern: the engines of one data centre
 * after the other end at once, so that a backup is gone before the run is.
 */
export function createKvBackup(options: KvBackupOptions): KvBackup {
	const {ctx, requestId, backend, initialBackup, canCopy, chooseBackup} =
		options;
	const {clock, codec, view} = ctx;
	let backupCopy: BackupCopy | undefined =
		initialBackup === undefined
			? undefined
			: {
					backend: initialBackup,
					copy: {address: initialBackup.address, run: requestId},
				};
	let copyHandle: string | undefined;
	let isCopying = false;
	let isReleased = false;
	let nextCopyAt = 0;

	const isCopyLost = (): boolean =>
		backupCopy === undefined ||
		view.readAvailability(backupCopy.backend.id) !== 'usable';

	/** A backup that the request itself named is kept up to date by its engine. */
	const findRefreshTarget = (): BackendRecord | undefined =>
		copyHandle === undefined ? undefined : backupCopy?.backend;

	const requestCopy = async (target: BackendRecord): Promise<void> => {
		const previous = backupCopy;
		const response = await sendBackendCommand(
			backend.address,
			codec.createCopyCommand(requestId, target.address),
		);
		const handle = response.isOk()
			? codec.readCopyHandle(response.value)
			: undefined;
		if (isReleased && handle !== undefined) {
			void sendBackendCommand(
				backend.address,
				codec.createReleaseCommand(handle),
			);
			return;
		}

		nextCopyAt =
			clock.now() +
			(handle === undefined ? RETRY_DELAY_MS : REFRESH_INTERVAL_MS);
		if (handle !== undefined) {
			copyHandle = handle;
			backupCopy = {
				backend: target,
				copy: {address: backend.address, run: handle},
			};
		}

		if (previous?.backend.id !== target.id) {
			ctx.log.info('A copy of a run was ordered.', {
				request: requestId,
				from: backend.id,
				to: target.id,
				outcome: response.isErr() ? response.error : 'copied',
			});
		}
	};

	const runCopyRequest = async (target: BackendRecord): Promise<void> => {
		isCopying = true;
		await requestCopy(target);
		isCopying = false;
	};

	return {
		refresh() {
			if (!canCopy || isCopying || isReleased || clock.now() < nextCopyAt) {
				return;
			}

			const target = isCopyLost() ? chooseBackup() : findRefreshTarget();
			if (target !== undefined) {
				void runCopyRequest(target);
			}
		},
		findCopy: () => (isCopyLost() ? undefined : backupCopy),
		release() {
			isReleased = true;
			if (copyHandle !== undefined) {
				void sendBackendCommand(
					backend.address,
					codec.createReleaseCommand(copyHandle),
				);
			}
		},
	};
}
