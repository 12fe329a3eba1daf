// Clients that nobody controls: many requests at once on connections of their own, each
// with a head inside the limit and a chunked body that stops just short of its end.
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {drawId} from './client.js';
import {HOST, KEY} from './operator.js';
import type {Machine} from './system.js';

/** A crowd of clients at one entry. */
export type Crowd = Readonly<{
	/** Ends the bodies of all requests, so that they can be served. */
	endBodies: () => void;
	countOpen: () => number;
	/** Answers that have begun, by their status. */
	readStatuses: () => Readonly<Record<string, number>>;
	leave: () => void;
}>;

/** Size of a crowd and of its requests. */
export type CrowdSize = Readonly<{
	clients: number;
	/** Bytes of each head; the limit is 16,384. */
	headBytes: number;
	deadlineMs: number;
}>;

const PAD_BYTES = 100;
const CLIENTS_PER_STEP = 20;
const STEP_MS = 20;
/** Place of the status in the first line of an answer. */
const STATUS_AT = 'HTTP/1.1 '.length;
const STATUS_LENGTH = 3;

function createHead(headBytes: number, deadlineMs: number): string {
	const lines = [
		'POST /brief/x HTTP/1.1',
		`Host: ${HOST}`,
		`Authorization: Bearer ${KEY}`,
		`X-Request-Id: ${drawId()}`,
		`X-Request-Deadline: ${deadlineMs}`,
		'X-Model: m',
		'X-Token-Usage: 1460,80',
		'X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250',
		'Transfer-Encoding: chunked',
	];
	const usedBytes = lines.join('\r\n').length;
	const pads = Math.floor((headBytes - usedBytes) / PAD_BYTES);
	const padding = Array.from({length: pads}, (_, i) =>
		`X-Client-Field-${i}: `.padEnd(PAD_BYTES - 2, drawId()),
	);
	return [...lines, ...padding, '', ''].join('\r\n');
}

/** Opens the connections of a crowd, and sends its requests but for the ends of their bodies. */
export async function openCrowd(
	{front}: Machine,
	{clients, headBytes, deadlineMs}: CrowdSize,
): Promise<Crowd> {
	const [host = '', port = ''] = front.split(':');
	const sockets: Socket[] = [];
	const statuses: Record<string, number> = {};
	for (let i = 0; i < clients; i += 1) {
		const socket = connect(Number(port), host);
		socket.on('error', () => undefined);
		socket.once('data', (chunk: Uint8Array) => {
			const status = new TextDecoder()
				.decode(chunk)
				.slice(STATUS_AT, STATUS_AT + STATUS_LENGTH);
			statuses[status] = (statuses[status] ?? 0) + 1;
			socket.resume();
		});
		socket.write(createHead(headBytes, deadlineMs));
		socket.write('6\r\nprompt\r\n');
		sockets.push(socket);
		if (i % CLIENTS_PER_STEP === 0) {
			// eslint-disable-next-line no-await-in-loop -- paces the connections
			await sleep(STEP_MS);
		}
	}

	return {
		endBodies() {
			sockets.forEach((socket) => {
				socket.write('0\r\n\r\n');
			});
		},
		countOpen: () => sockets.filter(({destroyed}) => !destroyed).length,
		readStatuses: () => statuses,
		leave() {
			sockets.forEach((socket) => {
				socket.destroy();
			});
		},
	};
}
