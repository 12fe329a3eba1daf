import type {IncomingMessage} from 'node:http';
import {
	type AnswerVerdict,
	type AttemptFailure,
	type BackendRecord,
	isRepeatable,
	judgeAnswer,
} from '@lovagevalve/dispatch';
import type {AcceptedRequest, GatewayContext} from './context.js';
import {isCutOffAnswer} from './peer-relay.js';

/** Who was asked, for which request. */
export type AskedServer = Readonly<{
	requestId: string;
	/** Whether the request may run more than once. */
	isRepeatable: boolean;
}> &
	(
		| Readonly<{
				source: 'backend' | 'command';
				backend: BackendRecord;
				/** Time of sending the request, in monotonic milliseconds. */
				sentAt: number;
		  }>
		| Readonly<{source: 'peer'; address: string}>
	);

type ReaderContext = Pick<GatewayContext, 'codec' | 'view' | 'log'>;

const MAX_LOGGED_ID_LENGTH = 64;

/** Describes a request that was sent to a backend server. */
export function describeAsked(
	{route, metadata}: AcceptedRequest,
	backend: BackendRecord,
	sentAt: number,
): AskedServer {
	return {
		source: 'backend',
		requestId: metadata.id,
		isRepeatable: isRepeatable(route.kind, route.isResumable),
		backend,
		sentAt,
	};
}

/** Describes a request that was sent on to another entry. */
export function describeAskedPeer(
	{route, metadata}: AcceptedRequest,
	address: string,
): AskedServer {
	return {
		source: 'peer',
		requestId: metadata.id,
		isRepeatable: isRepeatable(route.kind, route.isResumable),
		address,
	};
}

function createFailure(
	verdict: AnswerVerdict,
	source: AskedServer['source'],
	status: number,
): AttemptFailure | undefined {
	switch (verdict) {
		case 'foreign': {
			return {kind: 'lost', reason: 'the answer belongs to another request'};
		}

		case 'unsigned': {
			return {kind: 'lost', reason: `${status} without a signature`};
		}

		case 'not-run': {
			return {
				kind: 'rejected',
				reason:
					source === 'peer'
						? 'the other entry is cut off too'
						: `not run: ${status}`,
			};
		}

		case 'unpromised': {
			return {kind: 'failed', reason: `${status} without "not run"`};
		}

		case 'answer': {
			return undefined;
		}
	}
}

/**
 * Reads the head of an answer: why it is none for the caller; undefined if it is.
 * The notices of a backend server apply unless the answer is another request's.
 */
export function findAnswerFailure(
	ctx: ReaderContext,
	asked: AskedServer,
	response: IncomingMessage,
): AttemptFailure | undefined {
	const {statusCode: status = 0, headers} = response;
	const metadata = ctx.codec.readResponse(status, headers);
	const named = metadata.requestId ?? '';
	const isNotRun =
		asked.source === 'peer' ? isCutOffAnswer(headers) : metadata.isNotRun;
	const verdict = judgeAnswer(asked, {
		status,
		named,
		isNotRun,
		isSigned: metadata.isSigned ?? true,
	});
	if (verdict !== 'foreign' && asked.source !== 'peer') {
		ctx.view.recordNotice(asked.backend, metadata.notice, asked.sentAt);
	}

	if (verdict !== 'answer' && verdict !== 'not-run') {
		ctx.log.warn('An answer was not believed.', {
			request: asked.requestId,
			verdict,
			source: asked.source,
			server: asked.source === 'peer' ? asked.address : asked.backend.id,
			status,
			named: named.slice(0, MAX_LOGGED_ID_LENGTH),
			isNotRun,
		});
	}

	return createFailure(verdict, asked.source, status);
}
