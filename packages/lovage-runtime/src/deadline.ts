/**
 * Calls `onExpired` once after a time limit; returns what cancels it. A process that
 * stood still, or is short of processor time, runs its timers before it sees what
 * has arrived meanwhile; that is handled first and may cancel the deadline.
 */
export function startDeadline(
	limitMs: number,
	onExpired: () => void,
): () => void {
	let lastTurn: NodeJS.Immediate | undefined;
	const timer = setTimeout(() => {
		// Immediates run behind the sockets that were ready when the timer fired.
		lastTurn = setImmediate(onExpired);
	}, limitMs);
	return () => {
		clearTimeout(timer);
		clearImmediate(lastTurn);
	};
}
