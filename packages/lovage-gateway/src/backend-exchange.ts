import {Buffer} from 'node:buffer';
import {
	request,
	type ClientRequest,
	type IncomingMessage,
	type RequestOptions,
} from 'node:http';
import {connect} from 'node:net';
import {fromThrowable} from 'neverthrow';
import type {AttemptFailure} from '@lovagevalve/dispatch';
import {
	boundAnswerHead,
	guardSocket,
	startDeadline,
} from '@lovagevalve/runtime';
import {findHeadFault, isCloseDelimited} from './answer-head.js';

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
 * Data centres are milliseconds apart; a lost packet is retransmitted after 200
 * ms.
 */
const CONNECT_TIMEOUT_MS = 300;
/** A live process accepts connections within a few round trips. */
const PROBE_TIMEOUT_MS = 120;
/**
 * Keeps the socket writable after the peer's FIN. The types of `http.request`
 * lack this option of `net.connect`.
 */
const CONNECTION_OPTIONS = {allowHalfOpen: true};
const MAX_RESPONSE_HEADER_BYTES = 65_536;
const SETTLED_EVENT = 'settled';

/**
 * Responses whose connection failed, including failures seen after the `end`
 * event.
 */
const failedResponses = new WeakSet<IncomingMessage>();

/** Whether a response has arrived whole, by its length or its last chunk. */
function hasEnded(response: IncomingMessage): boolean {
	return response.complete && !isCloseDelimited(response.rawHeaders);
}

/**
 * Detects a reset at the end of a close-delimited response. When the last bytes
 * and the RST arrive together, Node.js reports an orderly end of the stream,
 * and only a write surfaces the error. A peer that closed properly ignores the
 * extra line break, as HTTP recommends.
 */
function detectResetAtEnd(response: IncomingMessage): void {
	if (isCloseDelimited(response.rawHeaders)) {
		response.socket.prependOnceListener('end', () => {
			response.socket.write('\r\n', (error) => {
				if (error) {
					failedResponses.add(response);
				}
			});
		});
	}
}

/** Whether a response that has ended is whole; known a turn of the event loop after its end. */
export function isWhole(response: IncomingMessage): boolean {
	return response.complete && !failedResponses.has(response);
}

/**
 * Calls `onComplete` if the whole response has arrived and `onTruncated` if the
 * connection failed before that.
 */
export function watchResponseEnd(
	response: IncomingMessage,
	onComplete: () => void,
	onTruncated: () => void,
): void {
	const settle = (): void => {
		if (isWhole(response)) {
			onComplete();
		} else {
			onTruncated();
		}
	};

	response.on('error', onTruncated);
	response.on('end', () => {
		if (isCloseDelimited(response.rawHeaders)) {
			// An event of the response, as its listeners run under the request's guard.
			response.once(SETTLED_EVENT, settle);
			setImmediate(() => response.emit(SETTLED_EVENT));
		} else {
			settle();
		}
	});
}

function describeRefusal(error: unknown): string {
	const {code, message} = error as NodeJS.ErrnoException;
	return code ?? message;
}

/** Creates a request; Node.js throws for some addresses, headers and paths. */
export const createClientRequest = fromThrowable(
	(options: RequestOptions): ClientRequest => request(options),
	describeRefusal,
);
const openSocket = fromThrowable(
	(address: string) => connect(parseAddress(address)),
	describeRefusal,
);

/** Parses `host:port`. */
export function parseAddress(address: string): {host: string; port: number} {
	const colon = address.lastIndexOf(':');
	return {
		host: address.slice(0, colon),
		port: Number(address.slice(colon + 1)),
	};
}

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
			failedResponses.add(receivedResponse);
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

/** Creates the lookup of the address at which backend servers are connected to. */
export function createAddressResolver(
	backendHost: string | undefined,
): (backend: Readonly<{address: string}>) => string {
	return ({address}) =>
		backendHost === undefined
			? address
			: `${backendHost}:${parseAddress(address).port}`;
}

/** Checks whether a backend server accepts a connection, lost packets included. */
export async function checkReach(address: string): Promise<boolean> {
	return probeAddress(address, CONNECT_TIMEOUT_MS);
}

/** Checks whether a backend server accepts a new connection. */
export async function probeAddress(
	address: string,
	timeoutMs = PROBE_TIMEOUT_MS,
): Promise<boolean> {
	return new Promise((resolve) => {
		const opened = openSocket(address);
		if (opened.isErr()) {
			resolve(false);
			return;
		}

		const socket = opened.value;
		const settle = (isAlive: boolean): void => {
			cancelDeadline();
			socket.destroy();
			resolve(isAlive);
		};

		const cancelDeadline = startDeadline(timeoutMs, () => {
			settle(false);
		});
		socket.once('connect', () => {
			settle(true);
		});
		socket.once('error', () => {
			settle(false);
		});
	});
}
