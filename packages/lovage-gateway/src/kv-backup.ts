import type {BackendRecord} from '@lovagevalve/dispatch';
import {sendBackendCommand} from './backend-command.js';
import type {GatewayContext} from './context.js';
import type {Guard} from './guard.js';
import type {KvCopyReference} from './protocol.js';

/**
 * A copy of a run's KV cache and the backend server where the run can resume.
 */
export type KvCopy = Readonly<{
	backend: BackendRecord;
	copy: KvCopyReference;
}>;

/** Options of the KV cache backup of one run. */
export type KvBackupOptions = Readonly<{
	ctx: GatewayContext;
	/** Guard of the run's request. */
	guard: Guard;
	requestId: string;
	/** Backend server that executes the run. */
	backend: BackendRecord;
	/**
	 * Backup target named in the request itself; the backend server replicates
	 * the KV cache there as it grows.
	 */
	initialBackupTarget: BackendRecord | undefined;
	/** Whether the backend servers support copy commands. */
	canCopy: boolean;
	/** Chooses another backup target. */
	chooseBackupTarget: () => BackendRecord | undefined;
}>;

/** Keeps a copy of a run's KV cache at an available backend server. */
export type KvBackup = Readonly<{
	/** Requests a new copy when the previous one is lost or outdated. */
	refresh: () => void;
	/** The copy to resume from; undefined if there is no usable one. */
	findCopy: () => KvCopy | undefined;
	/** Frees the requested copy. */
	release: () => void;
}>;

/** Backup of a run that keeps no copy of its KV cache. */
export const NO_BACKUP: KvBackup = {
	refresh: () => undefined,
	findCopy: () => undefined,
	release: () => undefined,
};

/**
 * Backend servers drop a requested copy after a few seconds; each further
 * request transfers only the delta.
 */
const REFRESH_INTERVAL_MS = 1500;
/** Delay before a failed copy request is repeated. */
const RETRY_DELAY_MS = 700;

/**
 * Creates the KV cache backup of a run. It covers a load pattern in which all
 * backend servers of one data centre end at once, followed by those of the
 * next, so that the backup target is gone before the run is.
 */
export function createKvBackup(options: KvBackupOptions): KvBackup {
	const {
		ctx,
		guard,
		requestId,
		backend,
		initialBackupTarget,
		canCopy,
		chooseBackupTarget,
	} = options;
	const {clock, codec, view} = ctx;
	let kvCopy: KvCopy | undefined =
		initialBackupTarget === undefined
			? undefined
			: {
					backend: initialBackupTarget,
					copy: {address: initialBackupTarget.address, run: requestId},
				};
	let copyHandle: string | undefined;
	let isCopying = false;
	let isReleased = false;
	let nextCopyAt = 0;

	const isCopyLost = (): boolean =>
		kvCopy === undefined ||
		view.find(kvCopy.backend.id)?.bornAt !== kvCopy.backend.bornAt ||
		view.readAvailability(kvCopy.backend.id) !== 'usable';

	/**
	 * The backend server itself keeps the copy at the initial backup target up to
	 * date.
	 */
	const findRefreshTarget = (): BackendRecord | undefined =>
		copyHandle === undefined ? undefined : kvCopy?.backend;

	const releaseCopy = (handle: string): void => {
		const target = {backend, requestId};
		const command = codec.createReleaseCommand(handle);
		void guard.settle(sendBackendCommand(ctx, target, command));
	};

	const requestCopy = async (target: BackendRecord): Promise<void> => {
		const previous = kvCopy;
		const response = await sendBackendCommand(
			ctx,
			{backend, requestId},
			codec.createCopyCommand(requestId, target.address),
		);
		const handle = response.isOk()
			? codec.readCopyHandle(response.value)
			: undefined;
		if (isReleased && handle !== undefined) {
			releaseCopy(handle);
			return;
		}

		nextCopyAt =
			clock.now() +
			(handle === undefined ? RETRY_DELAY_MS : REFRESH_INTERVAL_MS);
		if (handle !== undefined) {
			copyHandle = handle;
			kvCopy = {
				backend: target,
				copy: {address: backend.address, run: handle},
			};
		}

		if (previous?.backend.id !== target.id) {
			ctx.log.info('Requested a KV cache copy.', {
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

			const target = isCopyLost() ? chooseBackupTarget() : findRefreshTarget();
			if (target !== undefined) {
				void guard.settle(runCopyRequest(target));
			}
		},
		findCopy: () => (isCopyLost() ? undefined : kvCopy),
		release() {
			isReleased = true;
			if (copyHandle !== undefined) {
				releaseCopy(copyHandle);
			}
		},
	};
}
