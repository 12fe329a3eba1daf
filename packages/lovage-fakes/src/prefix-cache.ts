import {digestPromptPrefix} from '@lovagevalve/wire';

/** A change of the cache, as it is announced. */
export type CacheChange = Readonly<{
	sequence: number;
	kind: 'stored' | 'evicted';
	prefix: string;
}>;

/** Cache of prompt prefixes with limited room; the oldest use goes first. */
export type PrefixCache = Readonly<{
	/** Stores a prompt's prefix and tells whether it was there. */
	use: (prompt: string) => boolean;
	/** Takes the changes since the last call. */
	takeChanges: () => readonly CacheChange[];
}>;

/** Creates an empty cache of `size` prefixes. */
export function createPrefixCache(size: number): PrefixCache {
	const held = new Set<string>();
	let changes: CacheChange[] = [];
	let sequence = 0;

	const note = (kind: CacheChange['kind'], prefix: string): void => {
		changes.push({sequence, kind, prefix});
		sequence += 1;
	};

	return {
		use(prompt) {
			const prefix = digestPromptPrefix(prompt);
			const found = held.delete(prefix);
			held.add(prefix);
			if (!found) {
				note('stored', prefix);
			}

			if (held.size > size) {
				const [oldest] = held;
				held.delete(oldest!);
				note('evicted', oldest!);
			}

			return found;
		},
		takeChanges() {
			const taken = changes.slice(-1024);
			changes = [];
			return taken;
		},
	};
}
