import type {AddressesResponse} from '@lovagevalve/wire';
import {fetch} from 'undici';

const REQUEST_TIMEOUT_MS = 2000;

/** Cache of entry addresses that expires after the lifetime an entry gave. */
export type AddressBook = Readonly<{
	/** Returns the preferred address and refreshes an expired cache first. */
	getAddress: () => Promise<string>;
	/** Moves an address to the end of the list. */
	deprioritize: (address: string) => void;
	/** Moves addresses that an entry returned to the front of the list. */
	prioritize: (addresses: readonly string[]) => void;
}>;

async function fetchAddresses(
	entry: string,
	key: string,
): Promise<AddressesResponse | undefined> {
	try {
		const res = await fetch(`${entry}/v1/addresses`, {
			headers: {authorization: `Bearer ${key}`},
			signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
		});
		return res.ok ? ((await res.json()) as AddressesResponse) : undefined;
	} catch {
		return undefined;
	}
}

async function fetchFromAny(
	entries: readonly string[],
	key: string,
): Promise<AddressesResponse | undefined> {
	const [entry, ...others] = entries;
	if (entry === undefined) {
		return undefined;
	}

	return (await fetchAddresses(entry, key)) ?? fetchFromAny(others, key);
}

/**
 * Creates an address book. `entries` come from the caller's settings;
 * `initialAddresses` from an earlier answer, and they never expire.
 */
export function createAddressBook(
	entries: readonly string[],
	key: string,
	initialAddresses: readonly string[] = [],
): AddressBook {
	let addresses = initialAddresses;
	let expiresAt = initialAddresses.length > 0 ? Number.POSITIVE_INFINITY : 0;

	return {
		async getAddress() {
			if (addresses.length === 0 || performance.now() >= expiresAt) {
				const known = [...new Set([...addresses, ...entries])];
				const answer = await fetchFromAny(known, key);
				addresses = answer?.addresses ?? known;
				expiresAt = performance.now() + (answer?.lifetimeMs ?? 0);
			}

			return addresses[0]!;
		},
		deprioritize(address) {
			addresses = [
				...addresses.filter((known) => known !== address),
				...addresses.filter((known) => known === address),
			];
		},
		prioritize(preferred) {
			addresses = [...new Set([...preferred, ...addresses])];
		},
	};
}
