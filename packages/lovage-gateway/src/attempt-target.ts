import type {IncomingMessage} from 'node:http';
import type {AttemptFailure, BackendRecord} from '@lovagevalve/dispatch';
import type {BufferHolder} from '@lovagevalve/runtime';
import {
	describeAsked,
	describeAskedPeer,
	findAnswerFailure,
} from './answer-reader.js';
import {
	type AcceptedRequest,
	type GatewayContext,
	readRemainingMs,
} from './context.js';
import {createRelayHeaders} from './peer-relay.js';

/** Where an attempt is sent. */
export type AttemptTarget =
	| Readonly<{kind: 'backend'; backend: BackendRecord}>
	/** Another entry, which reaches the backend servers. */
	| Readonly<{kind: 'peer'; address: string}>;

/** Address and headers of an attempt. */
export function describeTarget(
	ctx: GatewayContext,
	req: AcceptedRequest,
	target: AttemptTarget,
): Readonly<{address: string; headers: string[]}> {
	const {lastEventId} = req.metadata;
	switch (target.kind) {
		case 'backend': {
			const {backend} = target;
			return {
				address: ctx.resolveAddress(backend),
				headers: ctx.codec.createBackendHeaders(req.rawHeaders, {
					backend: backend.id,
					customer: req.customer,
					remainingMs: readRemainingMs(ctx, req),
					lastEventId,
					bodyLength: req.body?.length,
				}),
			};
		}

		case 'peer': {
			return {
				address: target.address,
				headers: createRelayHeaders(ctx, req, {
					lastEventId,
					resumeId: lastEventId,
				}),
			};
		}
	}
}

/** Who holds what is buffered of an answer. */
export function describeHolder(target: AttemptTarget): BufferHolder {
	switch (target.kind) {
		case 'backend': {
			return {source: 'backends', name: target.backend.id};
		}

		case 'peer': {
			return {source: 'instances', name: target.address};
		}
	}
}

/** A response whose headers have arrived. */
export type ReceivedHead = Readonly<{
	target: AttemptTarget;
	/** Time of sending the request, in monotonic milliseconds. */
	sentAt: number;
	response: IncomingMessage;
}>;

/** Finds out from its head that a response is none for the caller. */
export function findHeadFailure(
	ctx: GatewayContext,
	req: AcceptedRequest,
	{target, sentAt, response}: ReceivedHead,
): AttemptFailure | undefined {
	switch (target.kind) {
		case 'backend': {
			const asked = describeAsked(req, target.backend, sentAt);
			return findAnswerFailure(ctx, asked, response);
		}

		case 'peer': {
			const asked = describeAskedPeer(req, target.address);
			return findAnswerFailure(ctx, asked, response);
		}
	}
}
