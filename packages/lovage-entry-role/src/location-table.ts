import type {Map as ImmutableMap} from 'immutable';

/** Location of a generation: its backend server and the entry that serves it. */
export type GenerationLocation = Readonly<{
	customer: string;
	requestId: string;
	digest: string;
	generation: string;
	attempt: number;
	/** Id of the backend server; empty while the generation is queued. */
	backend: string;
	/** Entry that serves the caller. */
	entry: string;
}>;

/** A location with its expiry time. */
export type LocationRecord = Readonly<{
	place: GenerationLocation;
	expiresAt: number;
}>;

/** Locations that this entry stores as home entry, by customer and request id. */
export type LocationTable = ImmutableMap<string, LocationRecord>;

/** Result of a look-up or registration. */
export type HomeAnswer =
	| {kind: 'found'; place: GenerationLocation}
	| {kind: 'absent'}
	| {kind: 'conflict'};

const MAX_LOCATIONS = 100_000;

/** Returns the key of a request in the location table. */
export function locationKey(customer: string, requestId: string): string {
	return `${customer}\0${requestId}`;
}

/** Looks up a request; the same id with a different body is a conflict. */
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
	location: GenerationLocation,
): boolean {
	return (
		found.generation === location.generation &&
		location.attempt >= found.attempt
	);
}

/**
 * Registers a location unless another generation or a later attempt is already
 * registered for the request, and answers with the location that applies.
 */
export function addLocation(
	locations: LocationTable,
	location: GenerationLocation,
	now: number,
	lifetimeMs: number,
): Readonly<{locations: LocationTable; answer: HomeAnswer}> {
	const found = lookUpLocation(locations, location, now);
	if (found.kind === 'conflict') {
		return {locations, answer: found};
	}

	if (found.kind === 'found' && !isSameOrLaterAttempt(found.place, location)) {
		return {locations, answer: found};
	}

	if (found.kind === 'absent' && locations.size >= MAX_LOCATIONS) {
		return {locations, answer: {kind: 'found', place: location}};
	}

	const key = locationKey(location.customer, location.requestId);
	return {
		locations: locations.set(key, {
			place: location,
			expiresAt: now + lifetimeMs,
		}),
		answer: {kind: 'found', place: location},
	};
}

/** Removes the locations whose lifetime has passed. */
export function removeExpiredLocations(
	locations: LocationTable,
	now: number,
): LocationTable {
	return locations.filter((record) => record.expiresAt > now);
}
