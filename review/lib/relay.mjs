/* eslint @typescript-eslint/switch-exhaustiveness-check: "off" -- it needs types, which JavaScript has none of */
// A relay in front of a core node for the calls of other nodes, which can cut off a front node.
import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {INNER_PORT, listen} from './system.mjs';

/** Name of the front node that sent a report; undefined for other calls. */
function readSender(path, body) {
	if (path !== '/report') {
		return undefined;
	}

	try {
		return JSON.parse(body.toString('utf8')).entry;
	} catch {
		return undefined;
	}
}

/** Starts a relay; `isCut` says which front nodes are partitioned from the core node. */
export async function startRelay({host, target, isCut}) {
	const agent = new Agent({keepAlive: true});
	/** Connections of each front node, by the reports that it sent on them. */
	const senders = new WeakMap();
	await listen(
		host,
		async (req, res) => {
			req.on('error', () => undefined);
			res.on('error', () => undefined);
			const chunks = [];
			for await (const chunk of req) {
				chunks.push(chunk);
			}

			const body = Buffer.concat(chunks);
			const sender =
				readSender(req.url, body) ?? senders.get(req.socket) ?? undefined;
			senders.set(req.socket, sender);
			const isSilent = () => sender !== undefined && isCut(sender);
			if (isSilent()) {
				// The caller hears nothing, as behind a partition.
				return;
			}

			const forwarded = request({
				agent,
				host: target,
				port: INNER_PORT,
				method: req.method,
				path: req.url,
				headers: req.headers,
			});
			forwarded.on('error', () => {
				res.destroy();
			});
			forwarded.on('response', (answer) => {
				if (isSilent()) {
					answer.resume();
					return;
				}

				res.writeHead(answer.statusCode, answer.headers);
				answer.pipe(res);
			});
			forwarded.end(body);
		},
		INNER_PORT,
	);
}
