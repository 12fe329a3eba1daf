/** How long the latest answers took, by route. */
export type AnswerTimes = Readonly<{
	/** Records a complete answer; the time is in milliseconds. */
	record: (route: string, tookMs: number) => void;
	/** Counts a request as under way; returns the function that ends this. */
	begin: (route: string) => () => void;
	/**
	 * Longest of the latest answers and of the requests under way, in milliseconds;
	 * undefined if there were few answers.
	 */
	readLongest: (route: string) => number | undefined;
}>;

/** Answers that are kept for each route. */
const MAX_KEPT = 256;
/** Answers from which on the longest one says something about the next. */
const MIN_KEPT = 16;
/** Limit of the routes in memory; the one that was not used for the longest time goes. */
const MAX_ROUTES = 1000;

/** Creates a record without any answers. */
export function createAnswerTimes(now: () => number): AnswerTimes {
	const byRoute = new Map<string, readonly number[]>();
	/** Requests under way with their time of arrival, in the order of arrival. */
	const underWay = new Map<symbol, Readonly<{route: string; at: number}>>();

	const readOldestMs = (route: string): number => {
		const oldest = [...underWay.values()].find((one) => one.route === route);
		return oldest === undefined ? 0 : now() - oldest.at;
	};

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
		begin(route) {
			const key = Symbol(route);
			underWay.set(key, {route, at: now()});
			return () => {
				underWay.delete(key);
			};
		},
		readLongest(route) {
			const latest = byRoute.get(route) ?? [];
			return latest.length < MIN_KEPT
				? undefined
				: Math.max(readOldestMs(route), ...latest);
		},
	};
}
