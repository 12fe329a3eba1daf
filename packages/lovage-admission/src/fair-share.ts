/** Virtual time of a customer that has work again, as in start-time fair queueing. */
export function enterQueue(virtualTime: number, queueTime: number): number {
	return Math.max(virtualTime, queueTime);
}

/** Virtual time of a customer after work of a cost, for a relative share. */
export function chargeWork(
	virtualTime: number,
	cost: number,
	share: number,
): number {
	return virtualTime + cost / share;
}
