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
	onAnswer: (answer: IncomingMessage) => void;
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
const MAX_ANSWER_HEADER_BYTES = 65_536;

/** Answers whose connection failed, also after they seemed to end. */
const failedAnswers = new WeakSet<IncomingMessage>();

function isUnframed({headers}: IncomingMessage): boolean {
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
function watchUnframedEnd(answer: IncomingMessage): void {
	if (isUnframed(answer)) {
		answer.socket.prependOnceListener('end', () => {
			answer.socket.write('\r\n', (error) => {
				if (error) {
					failedAnswers.add(answer);
				}
			});
		});
	}
}

/** Calls one of the two when an answer has ended: `onWhole` only if all of it has arrived. */
export function awaitEnd(
	answer: IncomingMessage,
	onWhole: () => void,
	onBroken: () => void,
): void {
	const settle = (): void => {
		if (answer.complete && !failedAnswers.has(answer)) {
			onWhole();
		} else {
			onBroken();
		}
	};

	answer.on('error', onBroken);
	answer.on('end', () => {
		if (isUnframed(answer)) {
			setImmediate(settle);
		} else {
			settle();
		}
	});
}

/** Splits an address into its host and port. */
export function splitAddress(address: string): {host: string; port: number} {
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
	{onAnswer, onFailure}: ExchangeListener,
): Exchange {
	let isSent = false;
	let isOver = false;
	let received: IncomingMessage | undefined;

	const finish = (failure: AttemptFailure): void => {
		if (!isOver) {
			isOver = true;
			onFailure(failure);
		}
	};

	const {host, port} = splitAddress(address);
	const req = sendHttp({
		host,
		port,
		method,
		path,
		headers,
		agent: false,
		setHost: false,
		...CONNECTION_OPTIONS,
		maxHeaderSize: MAX_ANSWER_HEADER_BYTES,
	});
	const connectTimer = setTimeout(() => {
		finish({kind: 'not-sent', reason: 'connect timeout'});
		req.destroy();
	}, CONNECT_TIMEOUT_MS);
	req.on('socket', (socket) => {
		socket.once('connect', () => {
			isSent = true;
			clearTimeout(connectTimer);
		});
	});
	req.on('response', (answer) => {
		if (isOver) {
			answer.destroy();
			return;
		}

		isOver = true;
		received = answer;
		watchUnframedEnd(answer);
		onAnswer(answer);
	});
	req.on('error', (error: NodeJS.ErrnoException) => {
		clearTimeout(connectTimer);
		// Node.js takes a reset for the end of an answer that has no length.
		if (received !== undefined) {
			failedAnswers.add(received);
			received.destroy(error);
		}

		const reason = error.code ?? error.message;
		finish({kind: isSent ? 'lost' : 'not-sent', reason});
	});
	req.on('close', () => {
		clearTimeout(connectTimer);
		finish({kind: isSent ? 'lost' : 'not-sent', reason: 'closed'});
	});
	req.end(body);

	return {
		cancel() {
			isOver = true;
			clearTimeout(connectTimer);
			req.destroy();
		},
	};
}

/** Tells whether a backend server accepts a new connection. */
export async function probeAddress(address: string): Promise<boolean> {
	return new Promise((resolve) => {
		const socket = connect(splitAddress(address));
		const end = (isAlive: boolean): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isAlive);
		};

		const timer = setTimeout(() => {
			end(false);
		}, PROBE_TIMEOUT_MS);
		socket.once('connect', () => {
			end(true);
		});
		socket.once('error', () => {
			end(false);
		});
	});
}
