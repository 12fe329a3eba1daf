import {
	addSpeeds,
	areSpeedsFaded,
	type BackendRecord,
	type CompactSpeeds,
	decaySpeeds,
	fromCompactSpeeds,
	isRunningIncarnation,
	type SpeedSums,
	subtractSpeeds,
	toCompactSpeeds,
} from '@lovagevalve/dispatch';
import type {Clock} from '@lovagevalve/runtime';

/** What entries measured of backend servers, as a control instance knows it. */
export type SpeedRegistry = Readonly<{
	/** Replaces what an entry measured of the backend servers that it reports; the rest decays. */
	applyReport: (entry: string, speeds: CompactSpeeds) => void;
	/**
	 * Describes what all entries but one measured, of the backend servers for which that
	 * has changed since it was last described to this entry: the rest decays there alike.
	 */
	describe: (entry: string) => CompactSpeeds;
	removeEntry: (entry: string) => void;
	/** Forgets incarnations that have ended and sums that have decayed. */
	removeEnded: (find: (id: string) => BackendRecord | undefined) => void;
}>;

type TimedSums = Readonly<{sums: SpeedSums; at: number}>;

/** Creates a registry without any sums. */
export function createSpeedRegistry(clock: Clock): SpeedRegistry {
	const byEntry = new Map<string, Map<string, TimedSums>>();
	/** Sums over the entries. All decay alike, so a decayed part can be subtracted from a decayed sum. */
	const totals = new Map<string, TimedSums>();

	const describedAt = new Map<string, number>();

	const read = ({sums, at}: TimedSums): SpeedSums =>
		decaySpeeds(sums, clock.now() - at);

	const setTotal = (key: string, sums: SpeedSums): void => {
		if (areSpeedsFaded(sums)) {
			totals.delete(key);
		} else {
			totals.set(key, {sums, at: clock.now()});
		}
	};

	const subtract = (key: string, part: TimedSums | undefined): void => {
		const total = totals.get(key);
		if (total !== undefined && part !== undefined) {
			setTotal(key, subtractSpeeds(read(total), read(part)));
		}
	};

	const removeFaded = (timed: Map<string, TimedSums>): void => {
		[...timed]
			.filter(([, one]) => areSpeedsFaded(read(one)))
			.forEach(([key]) => {
				timed.delete(key);
			});
	};

	return {
		applyReport(entry, speeds) {
			const parts = byEntry.get(entry) ?? new Map<string, TimedSums>();
			[...fromCompactSpeeds(speeds)].forEach(([key, sums]) => {
				subtract(key, parts.get(key));
				parts.set(key, {sums, at: clock.now()});
				const total = totals.get(key);
				setTotal(
					key,
					total === undefined ? sums : addSpeeds(read(total), sums),
				);
			});
			if (parts.size > 0) {
				byEntry.set(entry, parts);
			}
		},
		describe(entry) {
			const own = byEntry.get(entry);
			const since = describedAt.get(entry) ?? Number.NEGATIVE_INFINITY;
			describedAt.set(entry, clock.now());
			return toCompactSpeeds(
				[...totals]
					.filter(([, {at}]) => at >= since)
					.map(([key, total]) => {
						const part = own?.get(key);
						const sums = read(total);
						return [
							key,
							part === undefined ? sums : subtractSpeeds(sums, read(part)),
						] as const;
					})
					.filter(([, {ms}]) => ms > 0),
			);
		},
		removeEntry(entry) {
			[...(byEntry.get(entry) ?? [])].forEach(([key, part]) => {
				subtract(key, part);
			});
			byEntry.delete(entry);
			describedAt.delete(entry);
		},
		removeEnded(find) {
			[...totals.keys()]
				.filter((key) => !isRunningIncarnation(key, find))
				.forEach((key) => {
					totals.delete(key);
				});
			removeFaded(totals);
			[...byEntry].forEach(([entry, parts]) => {
				[...parts.keys()]
					.filter((key) => !totals.has(key))
					.forEach((key) => {
						parts.delete(key);
					});
				removeFaded(parts);
				if (parts.size === 0) {
					byEntry.delete(entry);
				}
			});
		},
	};
}
