import type {CallResult} from '@lovagevalve/entry-role';
import {createInterimBound, readBounded} from '@lovagevalve/runtime';
import {createDeadline, type BackendCall} from '@lovagevalve/wire';
import {buildConnector, Client} from 'undici';

const CONNECT_TIMEOUT_MS = 1000;
const MAX_ANSWER_BYTES = 1_048_576;

/** Result of sending a call to a backend server. */
export type CallOutcome =
	| {kind: 'answered'; result: CallResult}
	/** No byte of the call was written to the connection. */
	| {kind: 'not-sent'}
	/** The call may have been written, but no complete response arrived. */
	| {kind: 'lost'};

/** A single call to one backend server. */
export type CallExchange = Readonly<{
	address: string;
	body: BackendCall;
	timeoutMs: number;
	/**
	 * Called at most once, after the connection opens. Returning false closes
	 * the connection without writing to it.
	 */
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
 * Sends a call over a dedicated connection, so that the HTTP client cannot
 * retry it on another one. The outcome tells whether the call may have been
 * written.
 */
export async function exchangeCall(call: CallExchange): Promise<CallOutcome> {
	const connector = buildConnector({timeout: CONNECT_TIMEOUT_MS});
	let isPermitted = false;
	let isPermissionRequested = false;
	let client: Client | undefined;
	try {
		client = new Client(call.address, {
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

					// Refuse a reconnect: it would send the call a second time.
					isPermitted = !isPermissionRequested && call.mayWrite();
					isPermissionRequested = true;
					if (isPermitted) {
						callback(null, socket);
						return;
					}

					socket.destroy();
					callback(new Error('No permission to write the call.'), null);
				});
			},
		});
		const res = await client.request({
			method: 'POST',
			path: '/v1/calls',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(call.body),
			signal: createDeadline(call.timeoutMs),
			onInfo: createInterimBound(() => {
				void client?.destroy();
			}),
		});
		const answer = await readBounded(res.body, MAX_ANSWER_BYTES);
		const text = new TextDecoder().decode(answer);
		return {kind: 'answered', result: readResult(res.statusCode, text)};
	} catch {
		return isPermissionRequested ? {kind: 'lost'} : {kind: 'not-sent'};
	} finally {
		// A connection that opens after this point must not send the call.
		isPermissionRequested = true;
		void client?.destroy();
	}
}
