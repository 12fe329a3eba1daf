import {
	type ControlReport,
	joinMachines,
	type ServingEntry,
} from '@lovagevalve/dispatch';
import type {Clock} from '@lovagevalve/runtime';

/** The other entries, as control instances report them. */
export type EntryPeers = Readonly<{
	applyReport: (control: string, report: ControlReport) => void;
	/** Number of entries in service. */
	count: () => number;
	/** Entries that are advertised; empty until they are known. */
	listServing: () => readonly ServingEntry[];
	/** Addresses of the advertised entries but this one. */
	listOthers: () => readonly string[];
	/** Entries that take over requests while this one is cut off. */
	listRelays: () => readonly string[];
	/** Position of this entry among those that serve. */
	readRank: () => Readonly<{rank: number; instances: number}>;
}>;

/**
 * Values from a control instance remain valid for this long, which bridges
 * several report intervals or the loss of one instance.
 */
const REPORT_RETENTION_MS = 3000;

/** Creates the peers of the entry at `address`, none of which is known yet. */
export function createEntryPeers(clock: Clock, address: string): EntryPeers {
	let serving: readonly ServingEntry[] = [];
	let relays: readonly string[] = [];
	/** Number of entries, by the control instance that reported it. */
	const counts = new Map<string, Readonly<{count: number; at: number}>>();

	const listOthers = (): readonly string[] =>
		serving.map((other) => other.address).filter((other) => other !== address);

	return {
		applyReport(control, {entries, overview}) {
			counts.set(control, {count: entries, at: clock.now()});
			if (overview !== undefined) {
				serving =
					overview.serving === undefined
						? serving
						: joinMachines(overview.serving, overview.servingMachines);
				relays = overview.relays ?? [];
			}
		},
		/** The largest recent one, as a control instance that has just started knows few. */
		count: () =>
			Math.max(
				1,
				...[...counts.values()]
					.filter(({at}) => clock.now() - at < REPORT_RETENTION_MS)
					.map(({count}) => count),
			),
		listServing: () => serving,
		listOthers,
		listRelays: () => (relays.length > 0 ? relays : listOthers()),
		readRank() {
			const sorted = serving.map((other) => other.address).toSorted();
			const rank = sorted.indexOf(address);
			return rank === -1
				? {rank: sorted.length, instances: sorted.length + 1}
				: {rank, instances: sorted.length};
		},
	};
}
