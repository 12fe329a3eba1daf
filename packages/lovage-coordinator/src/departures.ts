import {type BackendRecord, createIncarnationKey} from '@lovagevalve/dispatch';
import type {Logger} from '@lovagevalve/runtime';
import {awaitCopies, countRequiredCopies} from './departure-copies.js';
import type {DepartureStore} from './departure-store.js';

/** Departures of backend servers, kept where the tolerated losses don't reach all copies. */
export type Departures = Readonly<{
	/** Stores a departure here and at others; resolves with whether it may be acknowledged. */
	confirm: (record: BackendRecord) => Promise<boolean>;
	/** Stores departures that another instance names; resolves with whether all are durable here. */
	keep: (records: readonly BackendRecord[]) => Promise<boolean>;
	/** Forgets departures of backend servers that are not known any more. */
	removeExpired: () => void;
}>;

/** Dependencies of the departures of a control instance. */
export type DeparturesOptions = Readonly<{
	log: Logger;
	store: Pick<DepartureStore, 'store'>;
	tolerated: number;
	find: (id: string) => BackendRecord | undefined;
	/** Names a departure to each other control instance; each resolves with whether it is stored there. */
	tellOthers: (record: BackendRecord) => ReadonlyArray<Promise<boolean>>;
}>;

function createKey(record: BackendRecord): string {
	return `${createIncarnationKey(record)}/${record.state}`;
}

/** Creates the departures of an instance that knows of none. */
export function createDepartures({
	log,
	store,
	tolerated,
	find,
	tellOthers,
}: DeparturesOptions): Departures {
	/** Keys of departures that have enough copies, and that are durable here, by backend server. */
	const confirmed = new Map<string, string>();
	const durable = new Map<string, string>();

	const listUnstored = (
		records: readonly BackendRecord[],
	): readonly BackendRecord[] =>
		records.filter(
			(record) =>
				record.state !== 'ready' &&
				durable.get(record.id) !== createKey(record),
		);

	const keep = async (records: readonly BackendRecord[]): Promise<boolean> => {
		const unstored = listUnstored(records);
		if (unstored.length === 0) {
			return true;
		}

		const isStored = await store.store();
		if (isStored) {
			unstored.forEach((record) => {
				durable.set(record.id, createKey(record));
			});
		}

		return isStored;
	};

	return {
		async confirm(record) {
			const key = createKey(record);
			if (confirmed.get(record.id) === key) {
				return true;
			}

			const others = tellOthers(record);
			const required = countRequiredCopies({tolerated, peers: others.length});
			const isConfirmed = await awaitCopies(
				[keep([record]), ...others],
				required,
			);
			if (isConfirmed) {
				confirmed.set(record.id, key);
			} else {
				log.warn('A departure has too few copies to be acknowledged.', {
					backend: record.id,
					service: record.service,
					state: record.state,
					required,
				});
			}

			return isConfirmed;
		},
		keep,
		removeExpired() {
			[...confirmed.keys(), ...durable.keys()]
				.filter((id) => find(id) === undefined)
				.forEach((id) => {
					confirmed.delete(id);
					durable.delete(id);
				});
		},
	};
}
