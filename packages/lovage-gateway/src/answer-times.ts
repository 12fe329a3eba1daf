/** How long the latest answers took, by route. */
export type AnswerTimes = Readonly<{
	/** Records a complete answer; the time is in milliseconds. */
	record: (route: string, tookMs: number) => void;
	/** Longest of the latest answers, in milliseconds; undefined if there were few. */
	readLongest: (route: string) => number | undefined;
}>;

/** Answers that are kept for each route. */
const MAX_KEPT = 32;
/** Answers from which on the longest one says something about the next. */
const MIN_KEPT = 8;
/** Limit of the routes in memory; the one that was not used for the longest time goes. */
const MAX_ROUTES = 1000;

/** Creates a record without any answers. */
export function createAnswerTimes(): AnswerTimes {
	const byRoute = new Map<string, readonly number[]>();
	return {
		record(route, tookMs) {
			const latest = byRoute.get(route) ?? [];
			byRoute.delete(route);
			byRoute.set(route, [...latest.slice(1 - MAX_KEPT), tookMs]);
			const [oldest] = byRoute.keys();
			if (byRoute.size > MAX_ROUTES && oldest !== undefined) {
				byRoute.delete(oldest);
			}
		},
		readLongest(route) {
			const latest = byRoute.get(route) ?? [];
			return latest.length < MIN_KEPT ? undefined : Math.max(...latest);
		},
	};
}
