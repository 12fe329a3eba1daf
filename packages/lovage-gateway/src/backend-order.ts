import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {splitAddress} from './backend-exchange.js';
import type {BackendOrder} from './protocol.js';

/** Copies of usual size are complete within milliseconds. */
const ORDER_TIMEOUT_MS = 1000;
const SUCCESS = 200;

/** Sends an order to a backend server; resolves with the text of a successful answer. */
export async function sendOrder(
	address: string,
	{method, path, body = ''}: BackendOrder,
): Promise<Result<string, string>> {
	return new Promise((resolve) => {
		const req = request({
			...splitAddress(address),
			method,
			path,
			agent: false,
			headers: {
				'Content-Type': 'application/json',
				'Content-Length': Buffer.byteLength(body),
			},
		});
		const fail = (reason: string): void => {
			clearTimeout(timer);
			req.destroy();
			resolve(err(reason));
		};

		const timer = setTimeout(() => {
			fail('timeout');
		}, ORDER_TIMEOUT_MS);
		req.on('error', (error: NodeJS.ErrnoException) => {
			fail(error.code ?? error.message);
		});
		req.on('response', (answer) => {
			let text = '';
			answer.setEncoding('utf8');
			answer.on('data', (chunk: string) => {
				text += chunk;
			});
			answer.on('error', (error) => {
				fail(error.message);
			});
			answer.on('end', () => {
				clearTimeout(timer);
				resolve(
					answer.statusCode === SUCCESS
						? ok(text)
						: err(`status ${answer.statusCode ?? 0}`),
				);
			});
		});
		req.end(body);
	});
}
