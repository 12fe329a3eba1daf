import process from 'node:process';

const POLL_INTERVAL_MS = 50;

/** How a fake backend server leaves. */
export type GracefulShutdownOptions = Readonly<{
	/** Runs once, at the first SIGTERM. */
	onShutdown: () => void;
	isIdle: () => boolean;
	/** Callers' knowledge is out of date for this long at most. */
	lingerMs: number;
}>;

/** Leaves at SIGTERM: exits with 0 when idle and lingered; at once at the second. */
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
