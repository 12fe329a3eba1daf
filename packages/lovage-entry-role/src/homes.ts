import type {Map as ImmutableMap} from 'immutable';

/** Where a generation lives. */
export type Place = Readonly<{
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
export type Home = Readonly<{place: Place; expiresAt: number}>;

/** Places that this entry is the home of, by customer and request id. */
export type Homes = ImmutableMap<string, Home>;

/** Outcome of a look-up or registration. */
export type HomeAnswer =
	{kind: 'found'; place: Place} | {kind: 'absent'} | {kind: 'conflict'};

const MAX_HOMES = 100_000;

/** Key of a request in the table of homes. */
export function homeKey(customer: string, requestId: string): string {
	return `${customer}\0${requestId}`;
}

/** Looks up a request; the same id with another body is a conflict. */
export function lookUpHome(
	homes: Homes,
	request: Readonly<{customer: string; requestId: string; digest: string}>,
	now: number,
): HomeAnswer {
	const home = homes.get(homeKey(request.customer, request.requestId));
	if (!home || home.expiresAt <= now) {
		return {kind: 'absent'};
	}

	return home.place.digest === request.digest
		? {kind: 'found', place: home.place}
		: {kind: 'conflict'};
}

function canReplace(found: Place, place: Place): boolean {
	return (
		found.generation === place.generation && place.attempt >= found.attempt
	);
}

/**
 * Registers a place unless the request has another generation already, and
 * answers with the place that holds.
 */
export function registerHome(
	homes: Homes,
	place: Place,
	now: number,
	lifetimeMs: number,
): Readonly<{homes: Homes; answer: HomeAnswer}> {
	const found = lookUpHome(homes, place, now);
	if (found.kind === 'conflict') {
		return {homes, answer: found};
	}

	if (found.kind === 'found' && !canReplace(found.place, place)) {
		return {homes, answer: found};
	}

	if (found.kind === 'absent' && homes.size >= MAX_HOMES) {
		return {homes, answer: {kind: 'found', place}};
	}

	const key = homeKey(place.customer, place.requestId);
	return {
		homes: homes.set(key, {place, expiresAt: now + lifetimeMs}),
		answer: {kind: 'found', place},
	};
}

/** Drops the places whose lifetime has passed. */
export function expireHomes(homes: Homes, now: number): Homes {
	return homes.filter((home) => home.expiresAt > now);
}
