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
	readAll: () => Readonly<Record<string, BackendLoad>>;
}>;

/** Creates the load of an entry without requests. */
export function createLoadReservations(): LoadReservations {
	const loads = new Map<string, BackendLoad>();
	const read = (id: string): BackendLoad => loads.get(id) ?? NO_LOAD;

	const adjust = (id: string, delta: BackendLoad): void => {
		const next = addLoad(read(id), delta);
		if (next.running > 0) {
			loads.set(id, next);
		} else {
			loads.delete(id);
		}
	};

	return {
		reserve(backend, {promptTokens, memoryTokens}) {
			const {id} = backend;
			let prefillTokens = promptTokens;
			let isReserved = true;
			adjust(id, {running: 1, prefillTokens, memoryTokens});
			return {
				backend,
				markPrefilled() {
					adjust(id, {...NO_LOAD, prefillTokens: -prefillTokens});
					prefillTokens = 0;
				},
				release() {
					if (isReserved) {
						isReserved = false;
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
		readAll: () => Object.fromEntries(loads),
	};
}
