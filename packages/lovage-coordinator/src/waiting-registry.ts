import {type ClusterOverview, encodeRanks} from '@lovagevalve/dispatch';
import {NUMBER_ARITHMETIC} from './arithmetic.js';
import type {KnownEntry} from './entry-registry.js';
import {createEntrySums} from './entry-sums.js';

/** Prompt tokens that wait for engines at the entries. */
export type WaitingRegistry = Readonly<{
	/** Replaces what waits at an entry, as `service/priority`. */
	set: (entry: string, tokens: Readonly<Record<string, number>>) => void;
	remove: (entry: string) => void;
	/** Describes the other entries; nothing if no work waits at any entry. */
	describe: (
		entry: string,
		listServing: () => readonly KnownEntry[],
	) => Pick<ClusterOverview, 'waiting' | 'waitingRanks'>;
}>;

/** Creates a registry of entries at which nothing waits. */
export function createWaitingRegistry(): WaitingRegistry {
	const sums = createEntrySums(NUMBER_ARITHMETIC);
	const waiting = new Set<string>();
	return {
		set(entry, tokens) {
			sums.set(entry, tokens);
			if (Object.keys(tokens).length > 0) {
				waiting.add(entry);
			} else {
				waiting.delete(entry);
			}
		},
		remove(entry) {
			sums.remove(entry);
			waiting.delete(entry);
		},
		describe(entry, listServing) {
			if (waiting.size === 0) {
				return {};
			}

			const ranked = listServing().toSorted((left, right) =>
				left.address < right.address ? -1 : 1,
			);
			return {
				waiting: sums.sumOthers(entry),
				waitingRanks: encodeRanks(
					ranked.map((known) => waiting.has(known.entry)),
				),
			};
		},
	};
}
