import process from 'node:process';

const CHECK_MS = 50;

/** How a fake backend server leaves. */
export type Departure = Readonly<{
	/** Runs once, at the first SIGTERM. */
	onLeave: () => void;
	isIdle: () => boolean;
	/** Callers' knowledge is out of date for this long at most. */
	lingerMs: number;
}>;

/** Leaves at SIGTERM: exits with 0 when idle and lingered; at once at the second. */
export function leaveOnSignal({onLeave, isIdle, lingerMs}: Departure): void {
	let leftAt: number | undefined;
	process.on('SIGTERM', () => {
		if (leftAt !== undefined) {
			process.exit(1);
		}

		const now = performance.now();
		leftAt = now;
		onLeave();
		setInterval(() => {
			if (isIdle() && performance.now() - now >= lingerMs) {
				process.exit(0);
			}
		}, CHECK_MS);
	});
}
