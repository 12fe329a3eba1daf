import {MAX_TIME_CLASS, type VersionCounts} from './counts.js';
import {decodeRollouts, isRolloutName, type ServiceRollout} from './state.js';

/** Responses of a version on a route: the failed ones, then the others by class of time. */
export type CompactCounts = readonly number[];

/** What an entry counted for a running order since it learned of it. */
export type RolloutCounts = Readonly<{
	/** Version of the order. */
	to: string;
	/** Requests sent to servers of the service. */
	total: number;
	/** Those sent to the new version. */
	exposed: number;
	/** Requests that run at other versions now. */
	oldRunning: number;
	/** Responses by route, of the new version and of the others. */
	routes: Readonly<
		Record<string, readonly [fresh: CompactCounts, old: CompactCounts]>
	>;
}>;

/** Part of an entry's report where roll-outs are in force. */
export type RolloutReport = Readonly<{
	/** Revision of the decisions that the entry knows; 0 for none. */
	revision: number;
	/** Counts by service, for the running orders. */
	counts: Readonly<Record<string, RolloutCounts>>;
}>;

/** Decisions that a control instance sends to an entry that knows older ones. */
export type RolloutDecisions = Readonly<{
	revision: number;
	services: ReadonlyArray<readonly [string, ServiceRollout]>;
}>;

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isCompactCounts(value: unknown): value is CompactCounts {
	return (
		Array.isArray(value) &&
		value.length <= MAX_TIME_CLASS + 2 &&
		value.every((count) => isCount(count))
	);
}

function isRolloutCounts(value: unknown): value is RolloutCounts {
	return (
		isObject(value) &&
		isRolloutName(value.to) &&
		isCount(value.total) &&
		isCount(value.exposed) &&
		isCount(value.oldRunning) &&
		isObject(value.routes) &&
		Object.values(value.routes).every(
			(pair) =>
				Array.isArray(pair) &&
				pair.length === 2 &&
				pair.every((counts) => isCompactCounts(counts)),
		)
	);
}

/** Whether a value is the part of an entry's report on roll-outs. */
export function isRolloutReport(value: unknown): value is RolloutReport {
	return (
		isObject(value) &&
		isCount(value.revision) &&
		isObject(value.counts) &&
		Object.values(value.counts).every((counts) => isRolloutCounts(counts))
	);
}

/** Decodes decisions of a control instance; undefined for those that can't be used. */
export function decodeDecisions(value: unknown): RolloutDecisions | undefined {
	return isObject(value) && isCount(value.revision)
		? {
				revision: value.revision,
				services: [...decodeRollouts(value.services)],
			}
		: undefined;
}

/** Encodes counts for a report. */
export function toCompactCounts({
	failed,
	byTime,
}: VersionCounts): CompactCounts {
	return [failed, ...byTime];
}

/** Decodes counts of a report. */
export function fromCompactCounts([
	failed = 0,
	...byTime
]: CompactCounts): VersionCounts {
	return {failed, byTime};
}
