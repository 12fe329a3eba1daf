import {connect} from 'node:net';
import {fromThrowable} from 'neverthrow';
import {startDeadline} from '@lovagevalve/runtime';
import {parseAddress} from './backend-address.js';
import {CONNECT_TIMEOUT_MS} from './backend-exchange.js';

/** A live process accepts connections within a few round trips. */
const PROBE_TIMEOUT_MS = 120;

/** Opens a connection; Node.js throws for some addresses. */
const openSocket = fromThrowable((address: string) =>
	connect(parseAddress(address)),
);

/** Checks whether a backend server accepts a connection, lost packets included. */
export async function checkReach(address: string): Promise<boolean> {
	return probeAddress(address, CONNECT_TIMEOUT_MS);
}

/** Checks whether a backend server accepts a new connection. */
export async function probeAddress(
	address: string,
	timeoutMs = PROBE_TIMEOUT_MS,
): Promise<boolean> {
	return new Promise((resolve) => {
		const opened = openSocket(address);
		if (opened.isErr()) {
			resolve(false);
			return;
		}

		const socket = opened.value;
		const settle = (isAlive: boolean): void => {
			cancelDeadline();
			socket.destroy();
			resolve(isAlive);
		};

		const cancelDeadline = startDeadline(timeoutMs, () => {
			settle(false);
		});
		socket.once('connect', () => {
			settle(true);
		});
		socket.once('error', () => {
			settle(false);
		});
	});
}
