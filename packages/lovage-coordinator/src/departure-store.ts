import {
	type AgedRecord,
	type BackendRecord,
	decodeRecord,
	fromAgedRecord,
	RECORD_RETENTION_MS,
} from '@lovagevalve/dispatch';
import type {Clock, Logger} from '@lovagevalve/runtime';
import {createStateFile, type StateFile} from './state-file.js';

/** Departures of backend servers, as a control instance stores them. */
export type StoredDepartures = Readonly<{
	/** Wall-clock time of storing, in milliseconds since the epoch. */
	at: number;
	records: readonly AgedRecord[];
}>;

/** Keeps which backend servers leave while all instances are down. */
export type DepartureStore = Readonly<{
	/** Reads the departures that were known before a restart. */
	load: () => Promise<readonly BackendRecord[]>;
	/** Resolves with whether the current departures are durable; false also if the disk takes too long. */
	store: () => Promise<boolean>;
}>;

/** Dependencies of a store. */
export type DepartureStoreOptions = Readonly<{
	clock: Clock;
	log: Logger;
	file: StateFile<StoredDepartures>;
	/** Backend servers that drain or are gone. */
	listDepartures: () => readonly AgedRecord[];
}>;

const FILE_NAME = 'departures.json';
/** A backend server asks another instance if it has no answer after a second. */
const MAX_STORE_MS = 400;

function isStoredDepartures(value: unknown): value is StoredDepartures {
	const {at, records} = (value ?? {}) as Partial<
		Record<keyof StoredDepartures, unknown>
	>;
	return (
		typeof at === 'number' &&
		Array.isArray(records) &&
		records.every((record) => decodeRecord(record).kind === 'sound')
	);
}

/** Creates access to the file of the departures in a data folder. */
export function createDepartureFile(
	folder: string,
): StateFile<StoredDepartures> {
	return createStateFile(folder, FILE_NAME, isStoredDepartures);
}

/** Adds the time since the departures were stored, and drops those that were dropped by now. */
export function restoreDepartures(
	{at, records}: StoredDepartures,
	{now, wall}: Readonly<{now: number; wall: number}>,
): readonly BackendRecord[] {
	const awayMs = Math.max(0, wall - at);
	return records
		.map((record) => ({...record, ageMs: record.ageMs + awayMs}))
		.filter(({ageMs}) => ageMs < RECORD_RETENTION_MS)
		.map((record) => fromAgedRecord(record, now));
}

/** Creates the store of a control instance. */
export function createDepartureStore({
	clock,
	log,
	file,
	listDepartures,
}: DepartureStoreOptions): DepartureStore {
	/** The write under way, and the one that follows it. */
	let running: Promise<boolean> | undefined;
	let next: Promise<boolean> | undefined;

	const save = async (): Promise<boolean> => {
		const saved = await file.save({
			at: clock.wall(),
			records: listDepartures(),
		});
		if (saved.isErr()) {
			log.error('Failed to store which backend servers leave.', {
				reason: saved.error,
			});
		}

		return saved.isOk();
	};

	const saveAfter = async (
		previous: Promise<boolean> | undefined,
	): Promise<boolean> => {
		await previous;
		next = undefined;
		running = save();
		const isSaved = await running;
		running = undefined;
		return isSaved;
	};

	const saveSoon = async (): Promise<boolean> => {
		next ??= saveAfter(running);
		return next;
	};

	return {
		async load() {
			const loaded = await file.load();
			if (loaded.isErr()) {
				log.error('Failed to read which backend servers leave.', {
					reason: loaded.error,
				});
			}

			const stored = loaded.unwrapOr(undefined);
			return stored === undefined
				? []
				: restoreDepartures(stored, {now: clock.now(), wall: clock.wall()});
		},
		async store() {
			let timer: NodeJS.Timeout | undefined;
			const limit = new Promise<'late'>((resolve) => {
				timer = setTimeout(() => {
					resolve('late');
				}, MAX_STORE_MS);
			});
			const outcome = await Promise.race([saveSoon(), limit]);
			clearTimeout(timer);
			if (outcome === 'late') {
				log.warn('A departure is not durable yet.', {afterMs: MAX_STORE_MS});
				return false;
			}

			return outcome;
		},
	};
}
