import {
	addLoad,
	type BackendLoad,
	type BackendRecord,
	NO_LOAD,
	type PlacementRequest,
} from '@lovagevalve/dispatch';

/**
 * Load of a request that counts against a backend server until it is released.
 */
export type LoadReservation = Readonly<{
	backend: BackendRecord;
	/** Releases the prefill tokens once the prompt is processed. */
	markPrefilled: () => void;
	release: () => void;
}>;

/** Load of this entry's requests, by backend server. */
export type LoadReservations = Readonly<{
	reserve: (
		backend: BackendRecord,
		request: PlacementRequest,
	) => LoadReservation;
	read: (id: string) => BackendLoad;
	/** Requests sent to an address, whichever incarnation they were meant for. */
	countAtAddress: (address: string) => number;
	readAll: () => Readonly<Record<string, BackendLoad>>;
}>;

/** Creates the load of an entry without requests. */
export function createLoadReservations(): LoadReservations {
	const loads = new Map<string, BackendLoad>();
	const runningByAddress = new Map<string, number>();
	const countAtAddress = (address: string): number =>
		runningByAddress.get(address) ?? 0;
	const read = (id: string): BackendLoad => loads.get(id) ?? NO_LOAD;

	const adjust = (id: string, delta: BackendLoad): void => {
		const next = addLoad(read(id), delta);
		if (next.running > 0) {
			loads.set(id, next);
		} else {
			loads.delete(id);
		}
	};

	const adjustAddress = (address: string, delta: number): void => {
		const next = countAtAddress(address) + delta;
		if (next > 0) {
			runningByAddress.set(address, next);
		} else {
			runningByAddress.delete(address);
		}
	};

	return {
		reserve(backend, {promptTokens, memoryTokens}) {
			const {id, address} = backend;
			let prefillTokens = promptTokens;
			let isReserved = true;
			adjust(id, {running: 1, prefillTokens, memoryTokens});
			adjustAddress(address, 1);
			return {
				backend,
				markPrefilled() {
					adjust(id, {...NO_LOAD, prefillTokens: -prefillTokens});
					prefillTokens = 0;
				},
				release() {
					if (isReserved) {
						isReserved = false;
						adjustAddress(address, -1);
						adjust(id, {
							running: -1,
							prefillTokens: -prefillTokens,
							memoryTokens: -memoryTokens,
						});
					}
				},
			};
		},
		read,
		countAtAddress,
		readAll: () => Object.fromEntries(loads),
	};
}
