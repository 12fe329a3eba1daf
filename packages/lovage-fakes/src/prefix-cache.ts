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
	touch: (prompt: string) => boolean;
	/** Takes the changes since the last call. */
	drainChanges: () => readonly CacheChange[];
}>;

/** Creates an empty cache of `size` prefixes. */
export function createPrefixCache(capacity: number): PrefixCache {
	const prefixes = new Set<string>();
	let changes: CacheChange[] = [];
	let sequence = 0;

	const recordChange = (kind: CacheChange['kind'], prefix: string): void => {
		changes.push({sequence, kind, prefix});
		sequence += 1;
	};

	return {
		touch(prompt) {
			const prefix = digestPromptPrefix(prompt);
			const wasStored = prefixes.delete(prefix);
			prefixes.add(prefix);
			if (!wasStored) {
				recordChange('stored', prefix);
			}

			if (prefixes.size > capacity) {
				const [oldest] = prefixes;
				prefixes.delete(oldest!);
				recordChange('evicted', oldest!);
			}

			return wasStored;
		},
		drainChanges() {
			const recent = changes.slice(-1024);
			changes = [];
			return recent;
		},
	};
}
