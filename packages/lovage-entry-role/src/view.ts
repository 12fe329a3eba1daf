import type {Map as ImmutableMap} from 'immutable';
import {isInInventory, type Lease} from './lease.js';

/** Announcement that a backend server sends about itself. */
export type BackendAnnouncement = Readonly<{
	id: string;
	service: string;
	dataCentre: string;
	rack?: string;
	address: string;
	incarnation: number;
	sequence: number;
	state: 'serving' | 'leaving';
	capacity: number;
	role?: string;
	models: ReadonlyArray<
		Readonly<{id: string; version: string; adapters: readonly string[]}>
	>;
	load: Readonly<{running: number; waiting: number; msPerToken?: number}>;
	cacheEvents: ReadonlyArray<
		Readonly<{sequence: number; kind: 'stored' | 'evicted'; prefix: string}>
	>;
}>;

/** State of a backend server as known to this entry. */
export type Backend = Readonly<{
	announcement: BackendAnnouncement;
	/** Monotonic time after which it gets no new work unless it announces itself again. */
	expiresAt: number;
	/** Prefix digests that its cache is expected to hold, oldest first. */
	cachedPrefixes: ReadonlySet<string>;
	/** Number of requests that this entry is running on it. */
	inFlight: number;
	/** Value of `inFlight` when its latest load report arrived. */
	inFlightAtReport: number;
	/** Monotonic time until which it gets no new work after a failure. */
	avoidUntil: number;
	/** Incarnation whose death this entry reported. */
	reportedIncarnation?: number;
	/** Incarnation whose death the control group acknowledged. */
	acknowledgedIncarnation?: number;
}>;

/** Backend servers known to an entry, by id. */
export type BackendView = ImmutableMap<string, Backend>;

const MAX_CACHED_PREFIXES = 4096;

/** Tells whether `next` is newer than the known announcement of the same server. */
function isNewer(known: BackendAnnouncement, next: BackendAnnouncement) {
	return (
		next.incarnation > known.incarnation ||
		(next.incarnation === known.incarnation && next.sequence > known.sequence)
	);
}

function applyCacheEvents(
	known: ReadonlySet<string>,
	announcement: BackendAnnouncement,
): ReadonlySet<string> {
	if (announcement.cacheEvents.length === 0) {
		return known;
	}

	const next = new Set(known);
	announcement.cacheEvents.forEach((event) => {
		next.delete(event.prefix);
		if (event.kind === 'stored') {
			next.add(event.prefix);
		}
	});
	return new Set([...next].slice(-MAX_CACHED_PREFIXES));
}

/** Applies an announcement unless a newer one is already known. */
export function applyAnnouncement(
	view: BackendView,
	announcement: BackendAnnouncement,
	now: number,
	lifetimeMs: number,
): BackendView {
	const known = view.get(announcement.id);
	if (known && !isNewer(known.announcement, announcement)) {
		return view;
	}

	const isSameIncarnation =
		known?.announcement.incarnation === announcement.incarnation;
	const cached = isSameIncarnation ? known.cachedPrefixes : new Set<string>();
	const next: Backend = {
		announcement,
		expiresAt: now + lifetimeMs,
		cachedPrefixes: applyCacheEvents(cached, announcement),
		inFlight: known?.inFlight ?? 0,
		inFlightAtReport: known?.inFlight ?? 0,
		avoidUntil: isSameIncarnation ? known.avoidUntil : 0,
		reportedIncarnation: known?.reportedIncarnation,
		acknowledgedIncarnation: known?.acknowledgedIncarnation,
	};
	return view.set(announcement.id, next);
}

/** Adds a change to the number of requests in flight on a backend server. */
export function adjustInFlight(
	view: BackendView,
	id: string,
	change: number,
): BackendView {
	const backend = view.get(id);
	if (!backend) {
		return view;
	}

	const inFlight = Math.max(0, backend.inFlight + change);
	return view.set(id, {...backend, inFlight});
}

/** Gives a backend server no new work until a time. */
export function avoidBackend(
	view: BackendView,
	id: string,
	until: number,
): BackendView {
	const backend = view.get(id);
	return backend ? view.set(id, {...backend, avoidUntil: until}) : view;
}

/** Lists the backend servers of a service that may get new work now. */
export function listAvailableBackends(
	view: BackendView,
	lease: Lease,
	service: string,
	now: number,
): readonly Backend[] {
	return [...view.values()].filter(
		({announcement, expiresAt, avoidUntil}) =>
			announcement.service === service &&
			announcement.state === 'serving' &&
			expiresAt > now &&
			avoidUntil <= now &&
			isInInventory(lease, announcement),
	);
}

/**
 * Removes backend servers without work of this entry whose announcement expired
 * more than one lifetime ago; until then their return is expected.
 */
export function expireBackends(
	view: BackendView,
	now: number,
	lifetimeMs: number,
): BackendView {
	const isKept = (backend: Backend) =>
		backend.expiresAt > now - lifetimeMs || backend.inFlight > 0;
	return view.every(isKept) ? view : view.filter(isKept);
}
