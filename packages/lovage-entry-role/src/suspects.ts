import type {EntryState, Stream} from './state.js';

/** Creates the key of a customer's request in the quarantine lists. */
export function createQuarantineKey(customer: string, digest: string): string {
	return `${customer}/${digest}`;
}

/** Tells whether a request is suspected of crashing backend servers. */
export function isSuspect(
	state: EntryState,
	customer: string,
	digest: string,
): boolean {
	return state.quarantine.suspects.includes(
		createQuarantineKey(customer, digest),
	);
}

/** Tells whether a request is known to crash backend servers and is refused. */
export function isQuarantined(
	state: EntryState,
	customer: string,
	digest: string,
): boolean {
	return state.quarantine.convicted.includes(
		createQuarantineKey(customer, digest),
	);
}

/** Tells whether the control group has yet to acknowledge a stream's last death. */
export function isDeathUnacknowledged(
	state: EntryState,
	{lastDeath}: Stream,
	now: number,
): boolean {
	if (!lastDeath || now >= lastDeath.until) {
		return false;
	}

	const backend = state.view.get(lastDeath.backend);
	return (
		backend !== undefined &&
		backend.acknowledgedIncarnation !== lastDeath.incarnation
	);
}

/**
 * Delay between a death under the leading suspect and its next placement.
 * Entries report the requests affected by one death tens of milliseconds apart.
 */
const LEADING_SUSPECT_DELAY_MS = 300;

/** Tells whether other entries may still report requests affected by the last death. */
function isAwaitingDeathReports(
	state: EntryState,
	{lastDeath}: Stream,
	digest: string,
	now: number,
): boolean {
	return (
		lastDeath !== undefined &&
		state.quarantine.leading === digest &&
		now < lastDeath.since + LEADING_SUSPECT_DELAY_MS
	);
}

/**
 * Tells whether a stream must not be placed yet because its request may be the
 * one that crashed its backend server.
 */
export function isPlacementHeld(
	state: EntryState,
	stream: Stream,
	now: number,
): boolean {
	const {customer, input} = stream;
	const digest = createQuarantineKey(customer, input.digest);
	return (
		state.quarantine.held.includes(digest) ||
		isAwaitingDeathReports(state, stream, digest, now) ||
		isDeathUnacknowledged(state, stream, now)
	);
}
