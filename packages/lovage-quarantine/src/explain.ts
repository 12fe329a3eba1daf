import {listKeys} from './deaths.js';
import {describeVerdict, type VerdictReason} from './evaluate.js';
import type {Death, QuarantineState} from './types.js';

/** Deaths at about the same time, and what they say about the request or part that was on most of them. */
export type JudgedEvent = Readonly<{
	/** Time of the first death. */
	startedAt: number;
	/** Time from the first death to the last. */
	spanMs: number;
	deaths: readonly Death[];
	/** Undefined if nothing that may have caused the deaths ran on them. */
	suspect: string | undefined;
	/** Number of these deaths that it was on. */
	present: number;
	/** Events that count against it so far. */
	strikes: number;
	required: number;
	reason: VerdictReason;
}>;

function isJudged({verdict}: Death): boolean {
	return verdict !== 'pending';
}

function isSameServer(left: Death, right: Death): boolean {
	return (
		left.backend === right.backend && left.incarnation === right.incarnation
	);
}

/** Lists the times at which events began that have deaths which are judged now and were not before. */
function listEventStarts(
	before: QuarantineState,
	after: QuarantineState,
): readonly number[] {
	const judged = after.deaths.filter(
		(death) =>
			isJudged(death) &&
			!before.deaths.some(
				(known) => isSameServer(known, death) && isJudged(known),
			),
	);
	return judged
		.map(({reportedAt}) => reportedAt)
		.toSorted((a, b) => a - b)
		.reduce<readonly number[]>(
			(starts, at) =>
				starts.length > 0 && at - starts.at(-1)! < after.options.eventMs
					? starts
					: [...starts, at],
			[],
		);
}

function findSuspect(
	state: QuarantineState,
	deaths: readonly Death[],
): Readonly<{suspect: string | undefined; present: number}> {
	const keys = deaths.flatMap((death) => listKeys(death));
	const counts = new Map<string, number>();
	keys.forEach((key) => {
		counts.set(key, (counts.get(key) ?? 0) + 1);
	});
	const countStrikes = (key: string): number =>
		state.records[key]?.strikes ??
		(state.convicted[key] === undefined ? 0 : Number.POSITIVE_INFINITY);
	const [first] = [...counts].toSorted(
		([a, left], [b, right]) =>
			countStrikes(b) - countStrikes(a) || right - left || (a < b ? -1 : 1),
	);
	return {suspect: first?.[0], present: first?.[1] ?? 0};
}

/** Explains the deaths that a step has judged, one entry for each event. */
export function listJudgedEvents(
	before: QuarantineState,
	after: QuarantineState,
): readonly JudgedEvent[] {
	return listEventStarts(before, after).map((startedAt) => {
		const deaths = after.deaths.filter(
			({reportedAt}) =>
				reportedAt >= startedAt &&
				reportedAt - startedAt < after.options.eventMs,
		);
		const {suspect, present} = findSuspect(after, deaths);
		const lastAt = Math.max(...deaths.map(({reportedAt}) => reportedAt));
		return {
			startedAt,
			spanMs: lastAt - startedAt,
			deaths,
			suspect,
			present,
			...describeVerdict(before, after, suspect),
		};
	});
}
