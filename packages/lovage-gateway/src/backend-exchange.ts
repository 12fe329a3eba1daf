import {Buffer} from 'node:buffer';
import {
	request,
	type ClientRequest,
	type IncomingMessage,
	type RequestOptions,
} from 'node:http';
import {fromThrowable} from 'neverthrow';
import type {AttemptFailure} from '@lovagevalve/dispatch';
import {
	boundAnswerHead,
	guardSocket,
	startDeadline,
} from '@lovagevalve/runtime';
import {findHeadFault} from './answer-head.js';
import {parseAddress} from './backend-address.js';
import {detectResetAtEnd, hasEnded, markBrokenOff} from './response-end.js';

export {watchResponseEnd} from './response-end.js';

/** A request to a single backend server. */
export type ExchangeRequest = Readonly<{
	/** IP address and port. */
	address: string;
	method: string;
	path: string;
	/** Alternating names and values. */
	headers: string[];
	body: Uint8Array | undefined;
}>;

/**
 * Callbacks of an exchange; exactly one of `onResponse` and `onFailure` is called,
 * once, unless the exchange is cancelled.
 */
export type ExchangeListener = Readonly<{
	/** The connection is established. */
	onConnect?: () => void;
	/** The status line and headers have arrived. */
	onResponse: (response: IncomingMessage) => void;
	/** The exchange failed before a response arrived. */
	onFailure: (failure: AttemptFailure) => void;
}>;

/** An HTTP exchange in progress. */
export type Exchange = Readonly<{
	/** Closes the connection, which makes the backend server stop its work. */
	cancel: () => void;
}>;

/**
 * Time within which a connection is established. Data centres are milliseconds
 * apart; a lost packet is retransmitted after 200 ms.
 */
export const CONNECT_TIMEOUT_MS = 300;
/**
 * Keeps the socket writable after the peer's FIN. The types of `http.request`
 * lack this option of `net.connect`.
 */
const CONNECTION_OPTIONS = {allowHalfOpen: true};
const MAX_RESPONSE_HEADER_BYTES = 65_536;

function describeRefusal(error: unknown): string {
	const {code, message} = error as NodeJS.ErrnoException;
	return code ?? message;
}

/** Creates a request; Node.js throws for some addresses, headers and paths. */
export const createClientRequest = fromThrowable(
	(options: RequestOptions): ClientRequest => request(options),
	describeRefusal,
);

/** An exchange that can't begin; it fails as any other, after this returns. */
function createFailedExchange(
	reason: string,
	{onFailure}: ExchangeListener,
): Exchange {
	const timer = setImmediate(() => {
		onFailure({kind: 'not-sent', reason, isBlameless: true});
	});
	return {
		cancel() {
			clearImmediate(timer);
		},
	};
}

/**
 * Sends a request on a new connection that closes after the response. No bytes
 * of an earlier response can precede this one, and a failure before the
 * connection is established means that nothing was sent.
 */
export function openExchange(
	{address, method, path, headers, body}: ExchangeRequest,
	listener: ExchangeListener,
): Exchange {
	const {onResponse, onFailure} = listener;
	let isConnected = false;
	let isSettled = false;
	let receivedResponse: IncomingMessage | undefined;

	const settleFailure = (failure: AttemptFailure): void => {
		if (!isSettled) {
			isSettled = true;
			onFailure(failure);
		}
	};

	const {host, port} = parseAddress(address);
	const created = createClientRequest({
		host,
		port,
		method,
		path,
		headers,
		agent: false,
		setHost: false,
		...CONNECTION_OPTIONS,
		maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
	});
	if (created.isErr()) {
		return createFailedExchange(created.error, listener);
	}

	const req = created.value;
	const cancelConnectDeadline = startDeadline(CONNECT_TIMEOUT_MS, () => {
		settleFailure({kind: 'not-sent', reason: 'connect timeout'});
		req.destroy();
	});
	boundAnswerHead(req, (reason) => {
		settleFailure({kind: 'lost', reason, isFlood: true});
		req.destroy();
	});
	req.on('socket', (socket) => {
		guardSocket(socket);
		socket.once('connect', () => {
			isConnected = true;
			cancelConnectDeadline();
			if (!isSettled) {
				listener.onConnect?.();
			}
		});
	});
	req.on('response', (response) => {
		if (isSettled) {
			response.destroy();
			return;
		}

		const fault = findHeadFault(response);
		if (fault !== undefined) {
			settleFailure({kind: 'lost', reason: fault});
			response.destroy();
			return;
		}

		isSettled = true;
		receivedResponse = response;
		detectResetAtEnd(response);
		onResponse(response);
	});
	req.on('error', (error: NodeJS.ErrnoException) => {
		cancelConnectDeadline();
		if (receivedResponse !== undefined && hasEnded(receivedResponse)) {
			// The bytes behind a whole response belong to no request.
			return;
		}

		// Node.js treats a reset as the end of a close-delimited response.
		if (receivedResponse !== undefined) {
			markBrokenOff(receivedResponse);
			receivedResponse.destroy(error);
		}

		const reason = error.code ?? error.message;
		settleFailure({kind: isConnected ? 'lost' : 'not-sent', reason});
	});
	req.on('close', () => {
		cancelConnectDeadline();
		settleFailure({kind: isConnected ? 'lost' : 'not-sent', reason: 'closed'});
	});
	req.end(body);

	return {
		cancel() {
			isSettled = true;
			cancelConnectDeadline();
			req.destroy();
		},
	};
}
