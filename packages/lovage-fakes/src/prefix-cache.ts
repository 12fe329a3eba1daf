import {digestPromptPrefix} from '@lovagevalve/wire';

/** Cache event, as announced. */
export type CacheChange = Readonly<{
	sequence: number;
	kind: 'stored' | 'evicted';
	prefix: string;
}>;

/** LRU cache of prompt prefixes. */
export type PrefixCache = Readonly<{
	/** Stores the prefix of a prompt and returns whether it was cached already. */
	touch: (prompt: string) => boolean;
	/** Returns and clears the changes since the last call. */
	drainChanges: () => readonly CacheChange[];
}>;

/** Creates an empty cache of at most `capacity` prefixes. */
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
			// An announcement carries at most 1024 cache events.
			const recent = changes.slice(-1024);
			changes = [];
			return recent;
		},
	};
}
