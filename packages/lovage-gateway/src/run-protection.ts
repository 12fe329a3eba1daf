import type {BackendRecord} from '@lovagevalve/dispatch';
import {sendOrder} from './backend-order.js';
import type {GatewayContext} from './context.js';
import type {MemoryCopy} from './protocol.js';

/** Where a run can go on from a copy of its memory. */
export type HeldCopy = Readonly<{backend: BackendRecord; copy: MemoryCopy}>;

/** What the protection of one run works with. */
export type RunProtectionParts = Readonly<{
	ctx: GatewayContext;
	requestId: string;
	/** Backend server that runs the request. */
	backend: BackendRecord;
	/** Backend server that gets the memory as it grows, by the request itself. */
	backup: BackendRecord | undefined;
	/** Whether the engines copy memory on order. */
	canCopy: boolean;
	/** Chooses another place for a copy. */
	chooseBackup: () => BackendRecord | undefined;
}>;

/** Keeps a copy of a run's memory at an engine that lives. */
export type RunProtection = Readonly<{
	/** Orders a copy where the former one is lost or getting old. */
	advance: () => void;
	/** The copy to go on with; undefined if there is none that can be used. */
	findCopy: () => HeldCopy | undefined;
	/** Frees what was ordered. */
	release: () => void;
}>;

/** Engines drop an ordered copy after some seconds; each order sends only what is new. */
const REFRESH_INTERVAL_MS = 1500;
/** A failed order is not repeated at once. */
const RETRY_INTERVAL_MS = 700;

/**
 * Creates the protection of a run. Load pattern: the engines of one data centre
 * after the other end at once, so that a backup is gone before the run is.
 */
export function createRunProtection(parts: RunProtectionParts): RunProtection {
	const {ctx, requestId, backend, backup, canCopy, chooseBackup} = parts;
	const {clock, codec, view} = ctx;
	let held: HeldCopy | undefined =
		backup === undefined
			? undefined
			: {backend: backup, copy: {address: backup.address, run: requestId}};
	let orderedName: string | undefined;
	let isOrdering = false;
	let isReleased = false;
	let nextOrderAt = 0;

	const isLost = (): boolean =>
		held === undefined || view.readUsability(held.backend.id) !== 'usable';

	/** A backup that the request itself named is kept up to date by its engine. */
	const findRefreshTarget = (): BackendRecord | undefined =>
		orderedName === undefined ? undefined : held?.backend;

	const order = async (target: BackendRecord): Promise<void> => {
		const before = held;
		const answer = await sendOrder(
			backend.address,
			codec.createCopyOrder(requestId, target.address),
		);
		const name = answer.isOk() ? codec.readCopyName(answer.value) : undefined;
		if (isReleased && name !== undefined) {
			void sendOrder(backend.address, codec.createReleaseOrder(name));
			return;
		}

		nextOrderAt =
			clock.now() +
			(name === undefined ? RETRY_INTERVAL_MS : REFRESH_INTERVAL_MS);
		if (name !== undefined) {
			orderedName = name;
			held = {backend: target, copy: {address: backend.address, run: name}};
		}

		if (before?.backend.id !== target.id) {
			ctx.log.info('A copy of a run was ordered.', {
				request: requestId,
				from: backend.id,
				to: target.id,
				outcome: answer.isErr() ? answer.error : 'copied',
			});
		}
	};

	const runOrder = async (target: BackendRecord): Promise<void> => {
		isOrdering = true;
		await order(target);
		isOrdering = false;
	};

	return {
		advance() {
			if (!canCopy || isOrdering || isReleased || clock.now() < nextOrderAt) {
				return;
			}

			const target = isLost() ? chooseBackup() : findRefreshTarget();
			if (target !== undefined) {
				void runOrder(target);
			}
		},
		findCopy: () => (isLost() ? undefined : held),
		release() {
			isReleased = true;
			if (orderedName !== undefined) {
				void sendOrder(backend.address, codec.createReleaseOrder(orderedName));
			}
		},
	};
}
