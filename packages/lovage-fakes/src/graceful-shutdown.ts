import process from 'node:process';

const POLL_INTERVAL_MS = 50;

/** Graceful shutdown of a fake backend server. */
export type GracefulShutdownOptions = Readonly<{
	/** Runs once, on the first SIGTERM. */
	onShutdown: () => void;
	isIdle: () => boolean;
	/**
	 * Minimum time to keep serving: the longest time for which callers may not
	 * know of the shutdown.
	 */
	lingerMs: number;
}>;

/**
 * Handles SIGTERM: exits with 0 once idle and `lingerMs` has passed. A second
 * SIGTERM exits at once with 1.
 */
export function shutDownOnSignal({
	onShutdown: onLeave,
	isIdle,
	lingerMs,
}: GracefulShutdownOptions): void {
	let signalledAt: number | undefined;
	process.on('SIGTERM', () => {
		if (signalledAt !== undefined) {
			process.exit(1);
		}

		const now = performance.now();
		signalledAt = now;
		onLeave();
		setInterval(() => {
			if (isIdle() && performance.now() - now >= lingerMs) {
				process.exit(0);
			}
		}, POLL_INTERVAL_MS);
	});
}
