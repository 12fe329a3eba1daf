import type {EntryState, Stream} from './state.js';

/** Digest under which a request of a customer is suspected and convicted. */
export function createQuarantineKey(customer: string, digest: string): string {
	return `${customer}/${digest}`;
}

/** Tells whether a request is to be kept apart from other suspects. */
export function isSuspect(
	state: EntryState,
	customer: string,
	digest: string,
): boolean {
	return state.quarantine.suspects.includes(
		createQuarantineKey(customer, digest),
	);
}

/** Tells whether a request is refused because it crashes backend servers. */
export function isQuarantined(
	state: EntryState,
	customer: string,
	digest: string,
): boolean {
	return state.quarantine.convicted.includes(
		createQuarantineKey(customer, digest),
	);
}

/** Tells whether the report of a stream's last death is not acknowledged yet. */
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
 * Time from a death of the leading suspect to its next placement; entries
 * report their victims of one death within tens of milliseconds.
 */
const LEADING_SUSPECT_DELAY_MS = 300;

/** Tells whether other entries may still report victims of the suspect's last death. */
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
 * Tells whether a stream waits for the verdict on a death: its request may be
 * what kills the backend servers.
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
