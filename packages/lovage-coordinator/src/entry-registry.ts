import {
	chooseRelays,
	type ClusterOverview,
	describeMachines,
	type EntryReport,
	type EntryStatus,
	isSameServing,
	isSelective,
	type KnownRevision,
} from '@lovagevalve/dispatch';
import type {Clock, Logger} from '@lovagevalve/runtime';

/** An entry as a control instance knows it. */
export type KnownEntry = Readonly<{
	entry: string;
	address: string;
	dataCentre: string;
	/** In cores, if the entry reports it. */
	capacity?: number;
	standing: EntryStatus;
	/** It reaches no backend server. */
	isCutOff: boolean;
	heardAt: number;
}>;

/** Entries as they report to a control instance. */
export type EntryRegistry = Readonly<{
	record: (report: EntryReport) => void;
	countAlive: () => number;
	/**
	 * Names of the entries that have not reported for some time; with a limit, only
	 * those that did so within it, in milliseconds, and are not leaving.
	 */
	listSilent: (withinMs?: number) => readonly string[];
	/** Entries that may be advertised to callers. */
	listServing: () => readonly KnownEntry[];
	/** Describes the entries to advertise, unless they are known. */
	describeServing: (
		knownServing: KnownRevision | undefined,
	) => Pick<ClusterOverview, 'serving' | 'servingMachines' | 'servingRevision'>;
	/** Describes entries that take over requests of one that is cut off. */
	describeRelays: (entry: string) => Pick<ClusterOverview, 'relays'>;
	/** Forgets entries that have ended and returns their names. */
	removeExpired: () => readonly string[];
}>;

/** Dependencies and settings of an entry registry. */
export type EntryRegistryOptions = Readonly<{
	clock: Clock;
	log: Logger;
	/** Distinguishes this start of the control instance from others. */
	epoch: number;
	/** Returns a random number in [0, 1). */
	random: () => number;
}>;

/**
 * Entries report several times a second; one that is silent for this long is
 * not advertised.
 */
const ENTRY_TIMEOUT_MS = 1500;
const ENTRY_RETENTION_MS = 30_000;

/** Creates a registry without any entries. */
export function createEntryRegistry({
	clock,
	log,
	epoch,
	random,
}: EntryRegistryOptions): EntryRegistry {
	const entries = new Map<string, KnownEntry>();
	/** Advertised entries as last described, and the number of changes of them. */
	let lastServing: readonly KnownEntry[] = [];
	let servingCount = 0;

	const isAlive = ({heardAt}: KnownEntry): boolean =>
		clock.now() - heardAt < ENTRY_TIMEOUT_MS;

	const listReady = (): readonly KnownEntry[] =>
		[...entries.values()].filter(
			(entry) => entry.standing === 'ready' && isAlive(entry),
		);

	/** Entries that are cut off are advertised only while all others are as well. */
	const listServing = (): readonly KnownEntry[] => {
		const ready = listReady();
		const connected = ready.filter(({isCutOff}) => !isCutOff);
		return connected.length > 0 ? connected : ready;
	};

	return {
		record(report) {
			const {entry, address, dataCentre, capacity} = report;
			const {standing, isCutOff = false} = report;
			const known = entries.get(entry);
			if (
				known?.standing !== standing ||
				known.address !== address ||
				known.isCutOff !== isCutOff ||
				known.capacity !== capacity ||
				!isAlive(known)
			) {
				log.info('An entry changed.', {
					entry,
					address,
					standing,
					isCutOff,
					capacity: capacity ?? 0,
				});
			}

			entries.set(entry, {
				entry,
				address,
				dataCentre,
				...(capacity === undefined ? {} : {capacity}),
				standing,
				isCutOff,
				heardAt: clock.now(),
			});
		},
		countAlive: () => [...entries.values()].filter(isAlive).length,
		listSilent: (withinMs) =>
			[...entries.values()]
				.filter((known) => !isAlive(known))
				.filter(
					({standing, heardAt}) =>
						withinMs === undefined ||
						(standing !== 'leaving' && clock.now() - heardAt < withinMs),
				)
				.map(({entry}) => entry),
		listServing,
		/**
		 * The list grows with the number of entries, and so does the number of answers;
		 * so it is sent only after a change.
		 */
		describeServing(knownServing) {
			const entriesServing = listServing();
			if (!isSameServing(entriesServing, lastServing)) {
				lastServing = entriesServing;
				servingCount += 1;
			}

			const servingRevision = {epoch, revision: servingCount};
			const isKnown =
				knownServing?.epoch === epoch && knownServing.revision === servingCount;
			if (isKnown) {
				return {servingRevision};
			}

			return {
				servingRevision,
				serving: entriesServing.map(({address}) => address),
				...(isSelective(entriesServing)
					? {servingMachines: describeMachines(entriesServing)}
					: {}),
			};
		},
		describeRelays(entry) {
			const known = entries.get(entry);
			if (known?.isCutOff !== true) {
				return {};
			}

			const {dataCentre} = known;
			const ready = listReady();
			const candidates = ready.filter(({isCutOff}) => !isCutOff);
			const cutOff = ready.filter(
				(other) => other.isCutOff && other.dataCentre === dataCentre,
			).length;
			return {relays: chooseRelays(candidates, {dataCentre, cutOff}, random)};
		},
		removeExpired() {
			const expired = [...entries.values()]
				.filter(({heardAt}) => clock.now() - heardAt > ENTRY_RETENTION_MS)
				.map(({entry}) => entry);
			expired.forEach((entry) => {
				entries.delete(entry);
			});
			return expired;
		},
	};
}
