import {probeAddress} from './backend-probe.js';

/** Checks whether a backend server accepts a new connection within a time limit. */
export type Probe = (address: string, timeoutMs?: number) => Promise<boolean>;

/**
 * Creates probes of which one at a time is open to an address: a backend server that
 * accepts slowly would get more connections the slower it is, from each of its runs.
 */
export function createSharedProbes(probe: Probe = probeAddress): Probe {
	const open = new Map<string, Promise<boolean>>();
	const run = async (
		key: string,
		address: string,
		timeoutMs: number | undefined,
	): Promise<boolean> => {
		const isAlive = await probe(address, timeoutMs);
		open.delete(key);
		return isAlive;
	};

	return async (address, timeoutMs) => {
		const key = `${address} ${timeoutMs ?? ''}`;
		const joined = open.get(key) ?? run(key, address, timeoutMs);
		open.set(key, joined);
		return joined;
	};
}
