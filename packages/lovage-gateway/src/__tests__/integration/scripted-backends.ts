import type {Gateway} from '../../gateway.js';
import {type Answer, endConnection} from './faulty-answers.js';
import {configuration, startHarness, startRawBackend} from './harness.js';

/** What backend servers write, and when they end the connection. */
export type ScriptedAnswer = Answer &
	Readonly<{
		/** Time between the last byte and the end of the connection. */
		endDelayMs: number;
	}>;

/** A gateway before servers whose answers depend on the path of the request. */
export type ScriptedFleet = Readonly<{
	port: number;
	gateway: Gateway;
	/** `Last-Event-Id` of the requests with a path, in order; empty if it was missing. */
	readSeen: (path: string) => readonly string[];
}>;

const SERVERS = 4;
/** Each request of a test may be sent again. */
const RETRIES = {windowMs: 10_000, ratio: 10, extra: 10_000};
const config = {
	...configuration,
	routes: configuration.routes.map((route) => ({...route, maxAttempts: 4})),
};

/**
 * Starts a gateway before backend servers, or other entries, which give the requests
 * with a path its answers in order.
 */
export async function startScriptedFleet(
	cleanups: Array<() => unknown>,
	answers: Readonly<Record<string, readonly ScriptedAnswer[]>>,
	via: 'backend' | 'peer',
): Promise<ScriptedFleet> {
	const seen = new Map<string, string[]>();
	const ports = await Promise.all(
		Array.from({length: SERVERS}, async () => {
			const {server, port} = await startRawBackend((socket, text) => {
				const path = text.split(' ')[1]!;
				const ids = seen.get(path) ?? [];
				seen.set(path, ids);
				const answer = answers[path]?.[ids.length];
				ids.push(/last-event-id: (.*)\r\n/i.exec(text)?.[1] ?? '');
				if (answer === undefined) {
					socket.resetAndDestroy();
					return;
				}

				socket.write(answer.bytes);
				if (answer.endDelayMs === 0) {
					endConnection(socket, answer.end);
				} else {
					setTimeout(() => {
						endConnection(socket, answer.end);
					}, answer.endDelayMs);
				}
			});
			cleanups.push(() => server.close());
			return port;
		}),
	);
	const peers = ports.map((port) => `127.0.0.1:${port}`);
	const isRelayed = via === 'peer';
	const harness = await startHarness(config, RETRIES, isRelayed ? peers : []);
	harness.setBackends(isRelayed ? [] : ports);
	cleanups.push(harness.close);
	const {port, gateway} = harness;
	return {port, gateway, readSeen: (path) => seen.get(path) ?? []};
}
