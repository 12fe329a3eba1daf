import type {AddressesResponse} from '@lovagevalve/wire';
import {fetch} from 'undici';

const ASK_TIMEOUT_MS = 2000;

/** Addresses that a caller keeps for their lifetime. */
export type AddressBook = Readonly<{
	/** Returns the address to use now, asking the entries when out of date. */
	next: () => Promise<string>;
	/** Puts an address behind the others. */
	avoid: (address: string) => void;
	/** Puts addresses that an entry named before the others. */
	prefer: (addresses: readonly string[]) => void;
}>;

async function ask(
	entry: string,
	key: string,
): Promise<AddressesResponse | undefined> {
	try {
		const res = await fetch(`${entry}/v1/addresses`, {
			headers: {authorization: `Bearer ${key}`},
			signal: AbortSignal.timeout(ASK_TIMEOUT_MS),
		});
		return res.ok ? ((await res.json()) as AddressesResponse) : undefined;
	} catch {
		return undefined;
	}
}

async function askFirst(
	entries: readonly string[],
	key: string,
): Promise<AddressesResponse | undefined> {
	const [entry, ...others] = entries;
	if (entry === undefined) {
		return undefined;
	}

	return (await ask(entry, key)) ?? askFirst(others, key);
}

/**
 * Creates a book; `entries` are known from the caller's settings, and `held`
 * from an answer that the caller keeps for good.
 */
export function createAddressBook(
	entries: readonly string[],
	key: string,
	held: readonly string[] = [],
): AddressBook {
	let addresses = held;
	let expiresAt = held.length > 0 ? Number.POSITIVE_INFINITY : 0;

	return {
		async next() {
			if (addresses.length === 0 || performance.now() >= expiresAt) {
				const known = [...new Set([...addresses, ...entries])];
				const answer = await askFirst(known, key);
				addresses = answer?.addresses ?? known;
				expiresAt = performance.now() + (answer?.lifetimeMs ?? 0);
			}

			return addresses[0]!;
		},
		avoid(address) {
			addresses = [
				...addresses.filter((known) => known !== address),
				...addresses.filter((known) => known === address),
			];
		},
		prefer(named) {
			addresses = [...new Set([...named, ...addresses])];
		},
	};
}
