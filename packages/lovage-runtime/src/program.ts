import process from 'node:process';
import type {Logger} from './logs.js';

/** Exit codes of the daemons. */
export const EXIT_CODES = {
	ok: 0,
	failure: 1,
	usage: 2,
	invalidSettings: 3,
	forced: 130,
} as const;

/**
 * Waits for SIGTERM or SIGINT, then drains with `stop`; a second signal ends
 * the process at once. Resolves with the exit code when drained.
 */
export async function waitForShutdown(
	log: Logger,
	stop: () => Promise<void>,
): Promise<number> {
	await new Promise<void>((resolve) => {
		let signals = 0;
		const onSignal = (signal: string): void => {
			signals += 1;
			if (signals > 1) {
				log.warn('A second signal ends the process at once.', {signal});
				// eslint-disable-next-line unicorn/no-process-exit
				process.exit(EXIT_CODES.forced);
			}

			log.info('Draining before the stop.', {signal});
			resolve();
		};

		process.on('SIGTERM', onSignal);
		process.on('SIGINT', onSignal);
	});
	await stop();
	log.info('Stopped.');
	return EXIT_CODES.ok;
}
