import {ok} from 'neverthrow';
import type {ChildSpec} from './supervisor.js';

/** Creates a supervised child that calls a function at a fixed interval. */
export function createTimerChild(
	name: string,
	run: () => void,
	everyMs: number,
): ChildSpec {
	return {
		name,
		async start() {
			const timer = setInterval(run, everyMs);
			return ok({
				async stop() {
					clearInterval(timer);
				},
			});
		},
	};
}
