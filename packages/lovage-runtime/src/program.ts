import process from 'node:process';
import type {Logger} from './logs.js';

/** Exit codes of the programs. */
export const EXIT_CODES = {
	ok: 0,
	failure: 1,
	usage: 2,
	invalidSettings: 3,
	forced: 130,
} as const;

/**
 * Waits for SIGTERM or SIGINT, then drains with `stop`. A second signal exits
 * the process immediately. Resolves with the exit code after the drain.
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
				log.warn('Second signal received; exiting immediately.', {signal});
				// eslint-disable-next-line unicorn/no-process-exit
				process.exit(EXIT_CODES.forced);
			}

			log.info('Signal received; draining.', {signal});
			resolve();
		};

		process.on('SIGTERM', onSignal);
		process.on('SIGINT', onSignal);
	});
	await stop();
	log.info('Stopped.');
	return EXIT_CODES.ok;
}
