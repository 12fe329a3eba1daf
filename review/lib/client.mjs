/* eslint @typescript-eslint/switch-exhaustiveness-check: "off" -- it needs types, which JavaScript has none of */
// Stand-in for clients: keeps connections and sends one request after the other on each.
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {Agent, request} from 'node:http';
import {API_KEY, HOST} from './configuration.mjs';

/** Creates a client of one front node; each has a connection of its own. */
export function createClient(address) {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	const [host, port] = address.split(':');
	return {
		/** Sends one request; resolves with what the client saw. */
		async send({
			method = 'GET',
			path,
			body,
			deadlineMs = 1000,
			headers = {},
			onSent = () => undefined,
		}) {
			const requestId = randomBytes(8).toString('hex');
			const sentAt = performance.now();
			return new Promise((resolve) => {
				const seen = {requestId, sentAt, path, status: undefined, body: ''};
				const finish = (outcome) => {
					clearTimeout(timer);
					resolve({...seen, outcome, endedAt: performance.now()});
				};

				const req = request({
					agent,
					host,
					port: Number(port),
					method,
					path,
					headers: {
						Host: HOST,
						'X-Request-Id': requestId,
						'X-Request-Deadline': String(deadlineMs),
						Authorization: `Bearer ${API_KEY}`,
						...(body === undefined
							? {}
							: {'Content-Length': Buffer.byteLength(body)}),
						...headers,
					},
				});
				const timer = setTimeout(() => {
					finish('gave up');
					req.destroy();
				}, deadlineMs);
				onSent(requestId);
				req.on('socket', () => {
					seen.isKept = req.reusedSocket;
				});
				req.on('error', (error) => {
					seen.isKept = req.reusedSocket;
					finish(`closed: ${error.code ?? error.message}`);
				});
				req.on('response', (res) => {
					seen.isKept = req.reusedSocket;
					seen.status = res.statusCode;
					seen.headers = res.headers;
					res.setEncoding('utf8');
					res.on('data', (chunk) => {
						seen.body += chunk;
					});
					res.on('error', (error) => {
						finish(`closed: ${error.code ?? error.message}`);
					});
					res.on('end', () => {
						finish('answered');
					});
				});
				req.end(body);
			});
		},
		close() {
			agent.destroy();
		},
	};
}
