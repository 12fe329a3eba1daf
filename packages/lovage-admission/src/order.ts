/** What decides between requests that wait for the same room. */
export type Ordered = Readonly<{
	/** Higher values start first. */
	priority: number;
	/** Time by which the request must have started or finished; later if absent. */
	deadline?: number;
	/** Number of arrivals before it. */
	order: number;
}>;

/** Compares requests by priority, then deadline, then arrival. */
export function compareOrdered(left: Ordered, right: Ordered): number {
	const priority = right.priority - left.priority;
	const deadline =
		(left.deadline ?? Number.MAX_VALUE) - (right.deadline ?? Number.MAX_VALUE);
	return priority || deadline || left.order - right.order;
}

/** Whether the next start takes the request that has waited longest. */
export function isOldestTurn(startCount: number, oldestEvery: number): boolean {
	return startCount % oldestEvery === oldestEvery - 1;
}
