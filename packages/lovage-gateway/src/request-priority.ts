/** Ranks that routes have within one rank of customers. */
const ROUTE_RANKS = 3;
/** Ranks of customers; those of routes within them fit into 0 to 8. */
const CUSTOMER_RANKS = 3;
/** Rank of a customer without a priority: between the highest and the lowest. */
const DEFAULT_CUSTOMER_RANK = 1;

function limitRank(priority: number, ranks: number): number {
	return Math.min(ranks - 1, Math.max(0, Math.round(priority)));
}

/**
 * Priority of a request, 0 the highest and 8 the lowest. A customer's priority goes
 * before the route's, which decides between requests of equal customers: where all
 * customers have the same priority, urgent routes would otherwise wait like the others.
 */
export function combinePriorities(
	customer: number | undefined,
	route: number,
): number {
	return (
		limitRank(customer ?? DEFAULT_CUSTOMER_RANK, CUSTOMER_RANKS) * ROUTE_RANKS +
		limitRank(route, ROUTE_RANKS)
	);
}
