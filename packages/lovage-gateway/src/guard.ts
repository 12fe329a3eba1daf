import type {EventEmitter} from 'node:events';
import {
	describeError,
	type Logger,
	type PrometheusMetrics,
} from '@lovagevalve/runtime';

/**
 * Runs callbacks of timers, sockets and promises so that what one of them throws
 * reaches the owner of the guard and doesn't end the process.
 */
export type Guard = Readonly<{
	run: (action: () => void) => void;
	/** Wraps a callback without a return value. */
	wrap: <Values extends readonly unknown[]>(
		callback: (...args: Values) => void,
	) => (...args: Values) => void;
	/** Awaits a promise that is not awaited elsewhere; always resolves. */
	settle: (work: Promise<unknown>) => Promise<void>;
	/** Runs the listeners of an emitter, also those that are added later. */
	watch: (emitter: EventEmitter) => void;
}>;

/** Guard of one request of a caller: a fault ends this request only. */
export type RequestGuard = Guard &
	Readonly<{
		/** Adds what releases the resources of the request after a fault. */
		addCleanup: (cleanup: () => void) => void;
	}>;

/** Creates a guard; `onFault` receives what was thrown and must not throw itself. */
export function createGuard(onFault: (error: unknown) => void): Guard {
	const wrap: Guard['wrap'] =
		(callback) =>
		(...args) => {
			try {
				callback(...args);
			} catch (error) {
				onFault(error);
			}
		};

	return {
		run(action) {
			wrap(action)();
		},
		wrap,
		async settle(work) {
			try {
				await work;
			} catch (error) {
				onFault(error);
			}
		},
		watch(emitter) {
			const emit = emitter.emit.bind(emitter) as (
				...args: readonly unknown[]
			) => boolean;
			Object.assign(emitter, {
				emit(...args: readonly unknown[]): boolean {
					try {
						return emit(...args);
					} catch (error) {
						onFault(error);
						return true;
					}
				},
			});
		},
	};
}

/** Creates a guard of work that belongs to no request, such as reports. */
export function createTaskGuard({
	log,
	metrics,
}: Readonly<{log: Logger; metrics: PrometheusMetrics}>): Guard {
	return createGuard((error) => {
		metrics.count('task_faults');
		log.error('Unexpected error outside of requests.', {
			reason: describeError(error),
		});
	});
}
