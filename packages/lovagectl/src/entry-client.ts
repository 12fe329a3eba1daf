import {readBounded} from '@lovagevalve/runtime';
import {isProblem, type EntryInfo} from '@lovagevalve/wire';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {request, type Agent} from 'undici';
import type {Credentials} from './connection.js';

const REQUEST_TIMEOUT_MS = 5000;
const MAX_BODY_BYTES = 32 * 1024 * 1024;

/** Why a request to an entry failed. */
export type EntryError = Readonly<{
	entry: string;
	message: string;
	/** HTTP status; absent if no response was received. */
	status?: number;
}>;

/** Credentials and connection pool for requests to entries. */
export type EntryClientOptions = Readonly<{
	credentials: Credentials;
	agent: Agent;
}>;

type EntryResponse = Readonly<{status: number; body: unknown}>;

async function readBody(body: AsyncIterable<Uint8Array>): Promise<unknown> {
	const content = await readBounded(body, MAX_BODY_BYTES);
	const text = new TextDecoder().decode(content);
	return text === '' ? undefined : (JSON.parse(text) as unknown);
}

async function sendRequest(
	url: string,
	method: 'GET' | 'POST',
	{credentials, agent}: EntryClientOptions,
): Promise<EntryResponse> {
	const response = await request(url, {
		method,
		dispatcher: agent,
		signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
		headers: {
			authorization: `Bearer ${credentials.key}`,
			'content-type': 'application/json',
		},
		body:
			method === 'POST'
				? JSON.stringify({operator: credentials.operator})
				: null,
	});
	return {
		status: response.statusCode,
		body: await readBody(response.body),
	};
}

function checkResponse(
	entry: EntryInfo,
	{status, body}: EntryResponse,
): Result<unknown, EntryError> {
	if (status >= 200 && status < 300) {
		return ok(body);
	}

	const detail = isProblem(body) ? body.detail : `HTTP status ${status}`;
	return err({
		entry: entry.id,
		message: `${entry.address}: ${detail}`,
		status,
	});
}

/** Sends an operator's request to an entry. All such requests are idempotent. */
export function callEntry(
	entry: EntryInfo,
	path: string,
	method: 'GET' | 'POST',
	options: EntryClientOptions,
): ResultAsync<unknown, EntryError> {
	const address = entry.address.replace(/\/+$/, '');
	return ResultAsync.fromPromise(
		sendRequest(`${address}${path}`, method, options),
		(cause): EntryError => ({
			entry: entry.id,
			message: `${entry.address}: ${cause instanceof Error ? cause.message : String(cause)}`,
		}),
	).andThen((response) => checkResponse(entry, response));
}

/** Tells whether an entry refused the operator's key. */
export function isKeyRefused({status}: EntryError): boolean {
	return status === 401 || status === 403;
}
