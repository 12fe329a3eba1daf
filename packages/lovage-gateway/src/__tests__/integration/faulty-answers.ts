import type {Socket} from 'node:net';
import {
	call,
	configuration,
	exchangeRaw,
	formatEvent,
	startHarness,
	startRawBackend,
	type CallerResponse,
} from './harness.js';

/** What a backend server writes, and how the connection ends. */
export type Answer = Readonly<{
	bytes: string;
	end: 'end' | 'reset' | 'silence';
}>;

const ID = 'Request-Id: r-1\r\n';
/** The begin of a head, to which headers can be added. */
export const OK = `HTTP/1.1 200 OK\r\n${ID}`;
export const STREAM = `${OK}Content-Type: text/event-stream\r\n`;
export const CHUNKED = `${STREAM}Transfer-Encoding: chunked\r\n\r\n`;
/** The head of a stream that ends with its connection. */
export const OPEN_END = `${STREAM}Connection: close\r\n\r\n`;
const LAST_CHUNK = '0\r\n\r\n';
const END_DELAY_MS = 20;

/** Begin of a head with another status. */
export function createHead(status: number): string {
	return `HTTP/1.1 ${status} Status\r\n${ID}`;
}

/** Formats a chunk of a body. */
export function formatChunk(text: string): string {
	return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Formats several events. */
export function formatEvents(...ids: readonly number[]): string {
	return ids.map((id) => formatEvent(id)).join('');
}

/** Removes comments, which are passed on as they come. */
export function removeComments(body: string): string {
	return body.replaceAll(/^: .*\n\n/gm, '');
}

/** A stream in chunks that ends properly. */
export function createStream(body: string): Answer {
	const chunk = body === '' ? '' : formatChunk(body);
	return {bytes: CHUNKED + chunk + LAST_CHUNK, end: 'end'};
}

/** An answer with a length. */
export function createAnswer(head: string, body: string): Answer {
	return {
		bytes: `${head}Content-Length: ${body.length}\r\n\r\n${body}`,
		end: 'end',
	};
}

/** A stream that is reset behind the events. */
export function createBroken(...ids: readonly number[]): Answer {
	return {bytes: CHUNKED + formatChunk(formatEvents(...ids)), end: 'reset'};
}

/** Ends the connection of an answer. */
export function endConnection(socket: Socket, end: Answer['end']): void {
	switch (end) {
		case 'end': {
			socket.end();
			break;
		}

		case 'reset': {
			socket.resetAndDestroy();
			break;
		}

		case 'silence': {
			break;
		}
	}
}

/** A gateway before servers that give one answer each. */
export type Fleet = Readonly<{
	port: number;
	/** `Last-Event-Id` of the requests in order; empty if it was missing. */
	seen: readonly string[];
}>;

const config = {
	...configuration,
	routes: configuration.routes.map((route) => ({...route, maxAttempts: 4})),
};

/** Starts a gateway before backend servers, or other entries, with these answers. */
export async function startFleet(
	cleanups: Array<() => unknown>,
	answers: readonly Answer[],
	via: 'backend' | 'peer' = 'backend',
): Promise<Fleet> {
	const seen: string[] = [];
	const ports = await Promise.all(
		answers.map(async ({bytes, end}) => {
			const {server, port} = await startRawBackend((socket, text) => {
				seen.push(/last-event-id: (.*)\r\n/i.exec(text)?.[1] ?? '');
				socket.write(bytes);
				setTimeout(() => {
					endConnection(socket, end);
				}, END_DELAY_MS);
			});
			cleanups.push(() => server.close());
			return port;
		}),
	);
	const peers = ports.map((port) => `127.0.0.1:${port}`);
	const harness = await startHarness(
		config,
		undefined,
		via === 'peer' ? peers : [],
	);
	harness.setBackends(via === 'peer' ? [] : ports);
	cleanups.push(harness.close);
	return {port: harness.port, seen};
}

/** Answer to a caller that speaks HTTP/1.0, to which an answer ends with its connection. */
export type Http10Answer = Readonly<{body: string; isReset: boolean}>;

/** Sends a request as an HTTP/1.0 caller. */
export async function callAsHttp10(
	port: number,
	path: string,
	waitMs = 2000,
): Promise<Http10Answer> {
	const {text, isReset} = await exchangeRaw(
		port,
		`POST ${path} HTTP/1.0\r\nHost: test\r\n${ID}Wait-Ms: ${waitMs}\r\nContent-Length: 0\r\n\r\n`,
	);
	return {body: text.slice(text.indexOf('\r\n\r\n') + 4), isReset};
}

/** Sends a request and removes comments from the answer. */
export async function callWithoutComments(
	port: number,
	path: string,
): Promise<CallerResponse> {
	const response = await call(port, path);
	return {...response, body: removeComments(response.body)};
}
