import type {Map as ImmutableMap} from 'immutable';

/** Where a generation lives. */
export type GenerationLocation = Readonly<{
	customer: string;
	requestId: string;
	digest: string;
	generation: string;
	attempt: number;
	/** Backend server, or empty while the generation waits for one. */
	backend: string;
	/** Entry that serves the caller. */
	entry: string;
}>;

/** A place with the time at which it is forgotten. */
export type LocationRecord = Readonly<{
	place: GenerationLocation;
	expiresAt: number;
}>;

/** Places that this entry is the location of, by customer and request id. */
export type LocationTable = ImmutableMap<string, LocationRecord>;

/** Outcome of a look-up or registration. */
export type HomeAnswer =
	| {kind: 'found'; place: GenerationLocation}
	| {kind: 'absent'}
	| {kind: 'conflict'};

const MAX_LOCATIONS = 100_000;

/** Key of a request in the location table. */
export function locationKey(customer: string, requestId: string): string {
	return `${customer}\0${requestId}`;
}

/** Looks up a request; the same id with another body is a conflict. */
export function lookUpLocation(
	locations: LocationTable,
	request: Readonly<{customer: string; requestId: string; digest: string}>,
	now: number,
): HomeAnswer {
	const record = locations.get(
		locationKey(request.customer, request.requestId),
	);
	if (!record || record.expiresAt <= now) {
		return {kind: 'absent'};
	}

	return record.place.digest === request.digest
		? {kind: 'found', place: record.place}
		: {kind: 'conflict'};
}

function isSameOrLaterAttempt(
	found: GenerationLocation,
	place: GenerationLocation,
): boolean {
	return (
		found.generation === place.generation && place.attempt >= found.attempt
	);
}

/**
 * Registers a place unless the request has another generation already, and
 * answers with the place that holds.
 */
export function addLocation(
	locations: LocationTable,
	place: GenerationLocation,
	now: number,
	lifetimeMs: number,
): Readonly<{locations: LocationTable; answer: HomeAnswer}> {
	const found = lookUpLocation(locations, place, now);
	if (found.kind === 'conflict') {
		return {locations, answer: found};
	}

	if (found.kind === 'found' && !isSameOrLaterAttempt(found.place, place)) {
		return {locations, answer: found};
	}

	if (found.kind === 'absent' && locations.size >= MAX_LOCATIONS) {
		return {locations, answer: {kind: 'found', place}};
	}

	const key = locationKey(place.customer, place.requestId);
	return {
		locations: locations.set(key, {place, expiresAt: now + lifetimeMs}),
		answer: {kind: 'found', place},
	};
}

/** Drops the places whose lifetime has passed. */
export function removeExpiredLocations(
	locations: LocationTable,
	now: number,
): LocationTable {
	return locations.filter((record) => record.expiresAt > now);
}
