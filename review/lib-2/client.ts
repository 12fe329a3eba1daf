// Clients: requests with the headers that the pages name, on kept or new connections.
import {randomBytes} from 'node:crypto';
import type {Agent} from 'node:http';
import {type Answer, call} from './http.js';
import {HOST, KEY, type Kind} from './operator.js';
import type {Machine} from './system.js';

/** One client attempt. */
export type Attempt = Readonly<{
	id: string;
	kind: Kind;
	path: string;
	deadlineMs: number;
	agent: Agent;
	/** Headers of a stream that the client takes up again. */
	resumed?: Readonly<{lastEventId: number; resumes: string}>;
	onData?: () => void;
}>;

/** Draws the id of a client attempt. */
export function drawId(): string {
	return randomBytes(8).toString('hex');
}

/** Headers of a request to model workers. */
const STREAM_HEADERS = {
	'X-Model': 'm',
	'X-Token-Usage': '1460,80',
	'X-Prompt-Prefix': '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
};

/** Sends one client attempt to an entry. */
export async function send(
	{front}: Machine,
	{id, kind, path, deadlineMs, agent, resumed, onData}: Attempt,
): Promise<Answer> {
	const hasBody = kind !== 'idempotent';
	return call({
		address: front,
		method: hasBody ? 'POST' : 'GET',
		path,
		headers: {
			Host: HOST,
			Authorization: `Bearer ${KEY}`,
			'X-Request-Id': id,
			'X-Request-Deadline': String(deadlineMs),
			...(kind === 'stream' ? STREAM_HEADERS : {}),
			...(resumed === undefined
				? {}
				: {
						'Last-Event-Id': String(resumed.lastEventId),
						Resumes: resumed.resumes,
					}),
		},
		...(hasBody ? {body: 'prompt'} : {}),
		agent,
		timeoutMs: deadlineMs,
		...(onData === undefined ? {} : {onData}),
	});
}
