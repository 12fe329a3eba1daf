import type {EntryState, Stream} from './state.js';

/** Digest under which a request of a customer is suspected and convicted. */
export function strikeDigest(customer: string, digest: string): string {
	return `${customer}/${digest}`;
}

/** Tells whether a request is to be kept apart from other suspects. */
export function isSuspect(
	state: EntryState,
	customer: string,
	digest: string,
): boolean {
	return state.quarantine.suspects.includes(strikeDigest(customer, digest));
}

/** Tells whether a request is refused because it crashes backend servers. */
export function isConvicted(
	state: EntryState,
	customer: string,
	digest: string,
): boolean {
	return state.quarantine.convicted.includes(strikeDigest(customer, digest));
}

/** Tells whether the report of a stream's last death is not acknowledged yet. */
export function isUnacknowledged(
	state: EntryState,
	{awaits}: Stream,
	now: number,
): boolean {
	if (!awaits || now >= awaits.until) {
		return false;
	}

	const dead = state.view.get(awaits.backend);
	return (
		dead !== undefined && dead.acknowledgedIncarnation !== awaits.incarnation
	);
}

/**
 * Time from a death of the leading suspect to its next placement; entries
 * report their victims of one death within tens of milliseconds.
 */
const LEADING_WAIT_MS = 300;

/** Tells whether other entries may still report victims of the suspect's last death. */
function isAwaitingVictims(
	state: EntryState,
	{awaits}: Stream,
	digest: string,
	now: number,
): boolean {
	return (
		awaits !== undefined &&
		state.quarantine.leading === digest &&
		now < awaits.since + LEADING_WAIT_MS
	);
}

/**
 * Tells whether a stream waits for the verdict on a death: its request may be
 * what kills the backend servers.
 */
export function isHeld(
	state: EntryState,
	stream: Stream,
	now: number,
): boolean {
	const {customer, input} = stream;
	const digest = strikeDigest(customer, input.digest);
	return (
		state.quarantine.held.includes(digest) ||
		isAwaitingVictims(state, stream, digest, now) ||
		isUnacknowledged(state, stream, now)
	);
}
