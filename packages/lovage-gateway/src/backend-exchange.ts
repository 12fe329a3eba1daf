import {Buffer} from 'node:buffer';
import {request as sendHttp, type IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import type {AttemptFailure} from '@lovagevalve/dispatch';

/** One request to one backend server. */
export type ExchangeRequest = Readonly<{
	/** IP address and port. */
	address: string;
	method: string;
	path: string;
	/** Names and values in turn. */
	headers: string[];
	body: Uint8Array | undefined;
}>;

/** What an exchange reports; only one of the two, once. */
export type ExchangeListener = Readonly<{
	/** The head of the answer is in. */
	onResponse: (response: IncomingMessage) => void;
	/** No answer will come. */
	onFailure: (failure: AttemptFailure) => void;
}>;

/** An exchange under way. */
export type Exchange = Readonly<{
	/** Closes the connection, which ends the work at the backend server. */
	cancel: () => void;
}>;

/** Data centres are milliseconds apart; a lost packet comes again after 200 ms. */
const CONNECT_TIMEOUT_MS = 300;
/** A process that lives accepts connections within a few round trips. */
const PROBE_TIMEOUT_MS = 120;
/** Options of `net.connect` that the types of `http.request` lack: the socket can be written to after the peer's end. */
const CONNECTION_OPTIONS = {allowHalfOpen: true};
const MAX_RESPONSE_HEADER_BYTES = 65_536;

/** Answers whose connection failed, also after they seemed to end. */
const failedResponses = new WeakSet<IncomingMessage>();

function isCloseDelimited({headers}: IncomingMessage): boolean {
	return (
		headers['content-length'] === undefined &&
		headers['transfer-encoding'] === undefined
	);
}

/**
 * Makes the end of an unframed answer tell a reset: where the last bytes and
 * the reset arrive together, Node.js reports a plain end of the stream, and
 * only a write shows the error. A peer that ended properly ignores the line
 * break, as HTTP asks for.
 */
function detectResetAtEnd(response: IncomingMessage): void {
	if (isCloseDelimited(response)) {
		response.socket.prependOnceListener('end', () => {
			response.socket.write('\r\n', (error) => {
				if (error) {
					failedResponses.add(response);
				}
			});
		});
	}
}

/** Calls one of the two when an answer has ended: `onWhole` only if all of it has arrived. */
export function watchResponseEnd(
	response: IncomingMessage,
	onComplete: () => void,
	onTruncated: () => void,
): void {
	const settle = (): void => {
		if (response.complete && !failedResponses.has(response)) {
			onComplete();
		} else {
			onTruncated();
		}
	};

	response.on('error', onTruncated);
	response.on('end', () => {
		if (isCloseDelimited(response)) {
			setImmediate(settle);
		} else {
			settle();
		}
	});
}

/** Splits an address into its host and port. */
export function parseAddress(address: string): {host: string; port: number} {
	const colon = address.lastIndexOf(':');
	return {
		host: address.slice(0, colon),
		port: Number(address.slice(colon + 1)),
	};
}

/**
 * Sends a request on a connection of its own, which closes after the answer:
 * no byte of a former answer can come before this one, and a connection that
 * fails before it is made has carried nothing.
 */
export function openExchange(
	{address, method, path, headers, body}: ExchangeRequest,
	{onResponse, onFailure}: ExchangeListener,
): Exchange {
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
	const req = sendHttp({
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
	const connectTimer = setTimeout(() => {
		settleFailure({kind: 'not-sent', reason: 'connect timeout'});
		req.destroy();
	}, CONNECT_TIMEOUT_MS);
	req.on('socket', (socket) => {
		socket.once('connect', () => {
			isConnected = true;
			clearTimeout(connectTimer);
		});
	});
	req.on('response', (response) => {
		if (isSettled) {
			response.destroy();
			return;
		}

		isSettled = true;
		receivedResponse = response;
		detectResetAtEnd(response);
		onResponse(response);
	});
	req.on('error', (error: NodeJS.ErrnoException) => {
		clearTimeout(connectTimer);
		// Node.js takes a reset for the end of an answer that has no length.
		if (receivedResponse !== undefined) {
			failedResponses.add(receivedResponse);
			receivedResponse.destroy(error);
		}

		const reason = error.code ?? error.message;
		settleFailure({kind: isConnected ? 'lost' : 'not-sent', reason});
	});
	req.on('close', () => {
		clearTimeout(connectTimer);
		settleFailure({kind: isConnected ? 'lost' : 'not-sent', reason: 'closed'});
	});
	req.end(body);

	return {
		cancel() {
			isSettled = true;
			clearTimeout(connectTimer);
			req.destroy();
		},
	};
}

/** Tells whether a backend server accepts a new connection. */
export async function probeAddress(address: string): Promise<boolean> {
	return new Promise((resolve) => {
		const socket = connect(parseAddress(address));
		const settle = (isAlive: boolean): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isAlive);
		};

		const timer = setTimeout(() => {
			settle(false);
		}, PROBE_TIMEOUT_MS);
		socket.once('connect', () => {
			settle(true);
		});
		socket.once('error', () => {
			settle(false);
		});
	});
}
