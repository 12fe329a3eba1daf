import {Agent, request} from 'node:http';
import {expect} from 'vitest';
import {exchangeRaw} from './harness.js';
import type {ScriptedFleet} from './scripted-backends.js';

/** How a caller sends its requests. */
export type CallerWay = Readonly<{
	method?: string;
	/** On a connection that has served a request. */
	isKept?: boolean;
	isDraining?: boolean;
	/** Speaks HTTP/1.0. */
	isOld?: boolean;
}>;

/** An answer as the caller sees it. */
export type Received = Readonly<{
	status: number;
	body: string;
	isWhole: boolean;
}>;

/** Requests at a time. */
const CONCURRENCY = 16;

async function callOn(
	agent: Agent,
	port: number,
	path: string,
	method: string,
): Promise<Received> {
	return new Promise((resolve) => {
		const req = request({
			host: '127.0.0.1',
			port,
			path,
			method,
			agent,
			headers: {Host: 'test', 'Request-Id': 'r-1', 'Content-Length': 0},
		});
		req.on('error', () => {
			resolve({status: 0, body: '', isWhole: false});
		});
		req.on('response', (res) => {
			let body = '';
			const end = (isWhole: boolean): void => {
				resolve({status: res.statusCode ?? 0, body, isWhole});
			};

			res.setEncoding('latin1');
			res.on('data', (chunk: string) => {
				body += chunk;
			});
			res.on('end', () => {
				end(res.complete);
			});
			res.on('error', () => {
				end(false);
			});
		});
		req.end();
	});
}

async function callOverHttp10(port: number, path: string): Promise<Received> {
	const {text, isReset} = await exchangeRaw(
		port,
		`POST ${path} HTTP/1.0\r\nHost: test\r\nRequest-Id: r-1\r\nContent-Length: 0\r\n\r\n`,
	);
	const headEnd = text.indexOf('\r\n\r\n') + 4;
	return {
		status: Number(text.split(' ')[1] ?? 0),
		body: text.slice(headEnd),
		isWhole: !isReset && headEnd > 4,
	};
}

/** Sends a request for each path. */
export async function callAll(
	cleanups: Array<() => unknown>,
	{port, gateway}: ScriptedFleet,
	{method = 'POST', isKept, isDraining, isOld}: CallerWay,
	paths: readonly string[],
): Promise<readonly Received[]> {
	const agents = Array.from(
		{length: CONCURRENCY},
		() => new Agent({keepAlive: true, maxSockets: 1}),
	);
	cleanups.push(() => {
		agents.forEach((agent) => {
			agent.destroy();
		});
	});
	const received: Received[] = [];
	const remaining = paths.map((path, i) => ({path, i}));
	await Promise.all(
		agents.map(async (agent) => {
			for (
				let next = remaining.shift();
				next !== undefined;
				next = remaining.shift()
			) {
				const {path, i} = next;
				if (isKept) {
					// eslint-disable-next-line no-await-in-loop -- one connection serves one request at a time
					const first = await callOn(agent, port, '/nowhere', 'GET');
					expect(first.status).toBe(404);
				}

				if (isDraining) {
					gateway.open.disableKeepAlive();
				}

				// eslint-disable-next-line no-await-in-loop -- as above
				received[i] = await (isOld
					? callOverHttp10(port, path)
					: callOn(agent, port, path, method));
			}
		}),
	);
	return received;
}
