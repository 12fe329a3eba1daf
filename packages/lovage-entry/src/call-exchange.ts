import type {CallResult} from '@lovagevalve/entry-role';
import {createDeadline, type BackendCall} from '@lovagevalve/wire';
import {buildConnector, Client} from 'undici';

const CONNECT_TIMEOUT_MS = 1000;
const MAX_ANSWER_BYTES = 1_048_576;

/** How an exchange with a plain service ended. */
export type CallOutcome =
	| {kind: 'answered'; result: CallResult}
	/** No byte of the call left this process. */
	| {kind: 'not-sent'}
	| {kind: 'lost'};

/** One call to one backend server. */
export type CallExchange = Readonly<{
	address: string;
	body: BackendCall;
	timeoutMs: number;
	/** Asked once, with the connection open; false closes it unused. */
	mayWrite: () => boolean;
}>;

function readResult(statusCode: number, text: string): CallResult {
	try {
		return {status: statusCode, body: JSON.parse(text) as CallResult['body']};
	} catch {
		return {status: statusCode, body: text};
	}
}

/**
 * Sends a call on a connection of its own, so that it is never sent again on
 * another one, and tells whether a byte of it can have left.
 */
export async function exchangeCall(call: CallExchange): Promise<CallOutcome> {
	const connector = buildConnector({timeout: CONNECT_TIMEOUT_MS});
	let isPermitted = false;
	let isPermissionRequested = false;
	const client = new Client(call.address, {
		pipelining: 1,
		maxResponseSize: MAX_ANSWER_BYTES,
		headersTimeout: 0,
		bodyTimeout: 0,
		connect(options, callback) {
			connector(options, (...outcome) => {
				const [error, socket] = outcome;
				if (error) {
					callback(error, null);
					return;
				}

				// A second connection would send the call again.
				isPermitted = !isPermissionRequested && call.mayWrite();
				isPermissionRequested = true;
				if (isPermitted) {
					callback(null, socket);
					return;
				}

				socket.destroy();
				callback(new Error('The call may not be written.'), null);
			});
		},
	});
	try {
		const res = await client.request({
			method: 'POST',
			path: '/v1/calls',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(call.body),
			signal: createDeadline(call.timeoutMs),
		});
		const text = await res.body.text();
		return {kind: 'answered', result: readResult(res.statusCode, text)};
	} catch {
		return isPermissionRequested ? {kind: 'lost'} : {kind: 'not-sent'};
	} finally {
		// A connection that opens late must find no permission.
		isPermissionRequested = true;
		void client.destroy();
	}
}
