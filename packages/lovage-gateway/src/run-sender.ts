import type {IncomingMessage} from 'node:http';
import {type AttemptFailure, isRepeatable} from '@lovagevalve/dispatch';
import {
	type AcceptedRequest,
	type GatewayContext,
	readRemainingMs,
} from './context.js';
import {createKvBackup, NO_BACKUP} from './kv-backup.js';
import {createPeerRecord, createRelayHeaders} from './peer-relay.js';
import type {StreamAttempts} from './stream-attempts.js';
import type {StreamDelivery} from './stream-delivery.js';
import type {EventRelay} from './stream-events.js';
import type {StreamPlacement, StreamTarget} from './stream-placement.js';
import {
	createNoReservation,
	createRun,
	type PreviousRun,
	type Run,
} from './stream-run.js';

/** Sends the runs of one stream, of which one is open at most. */
export type RunSender = Readonly<{
	sendToBackend: (
		target: Extract<StreamTarget, {kind: 'backend'}>,
		previous: PreviousRun | undefined,
	) => void;
	/** Sends the stream on to another entry. */
	sendToPeer: (address: string) => void;
	/** The last run; undefined before the first one. */
	readRun: () => Run | undefined;
	/** Closes the last run, if it is open. */
	close: () => void;
}>;

/** What a sender needs of the stream. */
export type RunSenderOptions = Readonly<{
	delivery: Pick<StreamDelivery, 'readLastEventId'>;
	attempts: Pick<StreamAttempts, 'recordStart'>;
	placement: Pick<StreamPlacement, 'chooseBackupTarget' | 'openExchange'>;
	events: Pick<EventRelay, 'readResumeId'>;
	onResponse: (run: Run, response: IncomingMessage) => void;
	onFailure: (run: Run, failure: AttemptFailure) => void;
}>;

/** Creates the sender of a stream without a run. */
export function createRunSender(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{
		delivery,
		attempts,
		placement,
		events,
		onResponse,
		onFailure,
	}: RunSenderOptions,
): RunSender {
	const {route, service, metadata, guard} = req;
	const canRepeat = isRepeatable(route.kind, route.isResumable);
	const sendsPriority =
		ctx.admission !== undefined && service.engine !== undefined;
	let run: Run | undefined;

	const send = (current: Run, headers: string[]): void => {
		run = current;
		attempts.recordStart(current.backend);
		current.exchange = placement.openExchange(
			current,
			{
				address: current.address,
				method: req.method,
				path: req.path,
				headers,
				body: req.body,
			},
			{
				onResponse: guard.wrap((response) => {
					guard.watch(response);
					onResponse(current, response);
				}),
				onFailure: guard.wrap((failure) => {
					onFailure(current, failure);
				}),
			},
		);
	};

	return {
		sendToBackend({backend, kvCopy, work}, previous) {
			const backupTarget = placement.chooseBackupTarget(backend);
			const address = ctx.resolveAddress(backend);
			const headers = ctx.codec.createBackendHeaders(req.rawHeaders, {
				backend: backend.id,
				customer: req.customer,
				priority: sendsPriority ? req.priority : undefined,
				remainingMs: readRemainingMs(ctx, req),
				backupAddress: backupTarget?.address,
				lastEventId: events.readResumeId(),
				copy: kvCopy?.copy,
				bodyLength: req.body?.length,
			});
			const current: Run = {
				...createRun(ctx, backend, address),
				kvBackup: createKvBackup({
					ctx,
					guard,
					requestId: metadata.id,
					backend,
					initialBackupTarget: backupTarget,
					canCopy: canRepeat && service.engine?.canCopy === true,
					chooseBackupTarget: () => placement.chooseBackupTarget(backend),
				}),
				hasCopy: kvCopy !== undefined,
				reservation: (ctx.admission ?? ctx.view).reserve(backend, work),
			};
			send(current, headers);
			if (previous !== undefined) {
				ctx.log.info('Started a new attempt for a stream.', {
					request: metadata.id,
					from: previous.backend.id,
					to: backend.id,
					fromVersion: previous.backend.softwareVersion ?? '',
					toVersion: backend.softwareVersion ?? '',
					hasCopy: kvCopy !== undefined,
					lastEventId: delivery.readLastEventId() ?? '',
				});
			}
		},
		sendToPeer(address) {
			ctx.metrics.count('relayed_requests', {outcome: 'stream'});
			ctx.log.info('Sending a stream on to another entry.', {
				request: metadata.id,
				peer: address,
				lastEventId: delivery.readLastEventId() ?? '',
			});
			const backend = createPeerRecord(address, service.name);
			send(
				{
					...createRun(ctx, backend, address),
					isRelayed: true,
					kvBackup: NO_BACKUP,
					hasCopy: false,
					reservation: createNoReservation(backend),
				},
				createRelayHeaders(ctx, req, {
					lastEventId: delivery.readLastEventId(),
					resumeId: events.readResumeId(),
				}),
			);
		},
		readRun: () => run,
		close() {
			if (run !== undefined && !run.isClosed) {
				run.isClosed = true;
				run.exchange?.cancel();
				run.reservation.release();
			}
		},
	};
}
