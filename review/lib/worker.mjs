/* eslint @typescript-eslint/switch-exhaustiveness-check: "off" -- it needs types, which JavaScript has none of */
// Stand-ins for workers that follow the pages: a plain service and a model engine.
import {setTimeout as sleep} from 'node:timers/promises';
import {call, HEARTBEAT_MS, listen} from './system.mjs';

const CALL_TIMEOUT_MS = 1000;

/** Creates the seal of an answer. */
export const createSeal = (id, requestId) => `seal.${id}.${requestId}`;

/**
 * Starts a worker that registers at the control nodes until it is stopped. `onRun` is
 * called with each request that it begins to run; `chooseFault` says whether the
 * answer to a stream is truncated to its first events, and whether it then breaks off.
 * `reportMs` is the time that it takes to answer `/v1/report`; each event names its
 * `version`.
 */
export async function startWorker({
	record,
	controls,
	host,
	id,
	service,
	zone,
	slots,
	version = 'v1',
	port = 0,
	coldMs = 0,
	reportMs = 0,
	firstHeartbeatMs = 0,
	workMs = 40,
	events = 0,
	eventMs = 30,
	onRun = () => undefined,
	chooseFault = () => undefined,
}) {
	const born = Date.now();
	let sequence = 0;
	let running = 0;
	let isSilent = false;
	const sockets = new Set();

	const reject = (res, status, requestId) => {
		res
			.writeHead(status, {
				...(requestId === undefined ? {} : {'X-Request-Id': requestId}),
				'X-Not-Executed': '1',
				'Content-Length': 0,
			})
			.end();
	};

	const stream = async (res, requestId, {after, path}) => {
		const fault = chooseFault({requestId, after, path, worker: id});
		const last = fault === undefined ? events : after + fault.events;
		res.writeHead(200, {
			'X-Request-Id': requestId,
			'X-Server-Seal': createSeal(id, requestId),
			'Content-Type': 'text/event-stream',
		});
		for (let event = after + 1; event <= last && !res.destroyed; event += 1) {
			res.write(`id: ${event}\ndata: ${version} token-${event}\n\n`);
			// eslint-disable-next-line no-await-in-loop -- one event after the other
			await sleep(eventMs);
		}

		if (fault?.breaksOff) {
			res.socket.resetAndDestroy();
			return;
		}

		res.end();
	};

	const readWhole = async (req) =>
		new Promise((resolve) => {
			req.resume();
			req.once('end', () => {
				resolve(true);
			});
			req.once('close', () => {
				resolve(false);
			});
		});

	const serve = async (req, res) => {
		const requestId = req.headers['x-request-id'];
		if (!(await readWhole(req))) {
			return;
		}

		if (req.url === '/health') {
			res.writeHead(200, {'X-Instance-Id': id, 'Content-Length': 0}).end();
		} else if (req.url === '/v1/report') {
			await sleep(reportMs);
			const report = {
				stage: 'prefill_decode',
				models: [],
				born,
				running,
				waiting: 0,
			};
			res
				.writeHead(200, {'Content-Type': 'application/json'})
				.end(JSON.stringify(report));
		} else if (requestId === undefined) {
			reject(res, 400);
		} else if (req.headers['x-target-instance'] !== id) {
			reject(res, 421, requestId);
		} else if (running >= slots) {
			reject(res, 503, requestId);
		} else {
			running += 1;
			onRun({requestId, at: performance.now(), worker: id});
			if (events > 0) {
				await stream(res, requestId, {
					after: Number(req.headers['last-event-id'] ?? 0),
					path: req.url,
				});
			} else {
				await sleep(workMs);
				const body = `answer of ${id} to ${requestId} `.repeat(10);
				res
					.writeHead(200, {
						'X-Request-Id': requestId,
						'X-Server-Seal': createSeal(id, requestId),
						'Content-Length': body.length,
					})
					.end(body);
			}

			running -= 1;
		}
	};

	const {server, address} = await listen(
		host,
		(req, res) => {
			req.on('error', () => undefined);
			res.on('error', () => undefined);
			serve(req, res);
		},
		port,
	);
	server.on('connection', (socket) => {
		sockets.add(socket);
		socket.once('close', () => sockets.delete(socket));
	});

	/** Calls one control node after the other until one acknowledges. */
	const tell = async (method, state) => {
		sequence += 1;
		const description = {
			service,
			address,
			zone,
			version,
			slots,
			state,
			'cold-left-ms': coldMs,
			stage: 'prefill_decode',
			models: [{name: 'm', version: 1, adapters: []}],
		};
		const body = JSON.stringify({
			...(method === 'PUT' ? description : {}),
			sequence,
			born,
		});
		const first = Math.floor(Math.random() * controls.length);
		for (let turn = 0; turn < controls.length; turn += 1) {
			const node = controls[(first + turn) % controls.length];
			// eslint-disable-next-line no-await-in-loop -- the next node is called after a failure
			const answer = await call(
				{
					address: node.control,
					method,
					path: `/v1/instances/${id}`,
					headers: {'Content-Type': 'application/json'},
					body,
				},
				CALL_TIMEOUT_MS,
			);
			if (answer !== undefined && answer.status >= 200 && answer.status < 300) {
				return node;
			}
		}

		return undefined;
	};

	let timer;
	const register = async () => {
		if (isSilent) {
			return;
		}

		await tell('PUT', 'ready');
		record(`worker ${id} (${service} ${version}) registered at ${address}`);
		timer = setInterval(() => {
			if (!isSilent) {
				tell('PUT', 'ready');
			}
		}, HEARTBEAT_MS);
	};

	if (firstHeartbeatMs > 0) {
		record(`worker ${id} (${service} ${version}) serves at ${address}`);
		setTimeout(register, firstHeartbeatMs);
	} else {
		await register();
	}

	return {
		id,
		address,
		port: server.address().port,
		/** Says by DELETE that it leaves, and goes on serving; resolves with the node that acknowledged. */
		async leave() {
			isSilent = true;
			return tell('DELETE');
		},
		/** Ends without a word. */
		crash() {
			isSilent = true;
			clearInterval(timer);
			server.close();
			sockets.forEach((socket) => {
				socket.resetAndDestroy();
			});
		},
	};
}
