import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock, Logger} from '@lovagevalve/runtime';
import type {DrainGate} from './drain-gate.js';
import type {Gateway} from './gateway.js';

/** What is drained, and how much time there is for it. */
export type DrainOptions = Readonly<{
	gateway: Gateway;
	gate: Pick<DrainGate, 'announceEnd'>;
	/** Time from the stop signal to the forced end of the process, in milliseconds. */
	gracePeriodMs: number;
	/**
	 * Longest time for which callers use an address that is no longer advertised,
	 * in milliseconds.
	 */
	addressLifetimeMs: number;
	clock: Clock;
	log: Logger;
}>;

/** The process exits this long before the end of the grace period. */
const STOP_MARGIN_MS = 300;
/** The same as a part of a short grace period. */
const STOP_MARGIN_SHARE = 0.1;
/** Limit of the lines on requests that the end of the process cuts. */
const MAX_LOGGED_REQUESTS = 20;

/**
 * Serves what can be complete by the end of the grace period; resolves when the
 * process may exit.
 */
export async function drainGateway({
	gateway,
	gate,
	gracePeriodMs,
	addressLifetimeMs,
	clock,
	log,
}: DrainOptions): Promise<void> {
	const stoppedAt = clock.now();
	const marginMs = Math.min(STOP_MARGIN_MS, gracePeriodMs * STOP_MARGIN_SHARE);
	const endsAt = stoppedAt + gracePeriodMs - marginMs;
	const readLeftMs = (): number => Math.round(endsAt - clock.now());
	gate.announceEnd(endsAt);
	gateway.open.disableKeepAlive();
	log.info('Draining: no longer advertised to callers.', {
		requests: gateway.countRequests(),
		leftMs: readLeftMs(),
	});
	// Callers keep using an address for a while and are served until then.
	await sleep(Math.min(addressLifetimeMs, readLeftMs()));
	gateway.stopListening();
	log.info('Draining: accepts no more connections.', {
		requests: gateway.countRequests(),
		leftMs: readLeftMs(),
	});
	// Idleness counts only from here on, because requests can arrive until
	// the server stops listening.
	await gateway.awaitIdle(readLeftMs());
	// Requests on open connections can still arrive until the process exits.
	gate.announceEnd(clock.now());
	const cutOff = gateway.open.list();
	cutOff.slice(0, MAX_LOGGED_REQUESTS).forEach((request) => {
		log.warn('The end of the process cuts a request.', {
			...request,
			arrivedMs: Math.round(clock.now() - stoppedAt - request.ageMs),
		});
	});
	gateway.open.breakOffAll();
	log.info('Drained.', {requests: cutOff.length, leftMs: readLeftMs()});
}
