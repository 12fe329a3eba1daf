import {getNextDeadline} from '@lovagevalve/generation';
import type {Clock} from './clock.js';
import type {Live} from './request.js';

/** Creates a function that keeps one timer for each generation. */
export function createTimers(
	clock: Clock,
	onDue: (one: Live) => void,
): (one: Live) => void {
	const arm = (one: Live) => {
		const deadline = getNextDeadline(one.state);
		if (one.hasTimer || deadline === undefined) {
			return;
		}

		one.hasTimer = true;
		clock.schedule(Math.max(0, deadline - clock.now()), () => {
			one.hasTimer = false;
			const due = getNextDeadline(one.state);
			if (due !== undefined && due <= clock.now()) {
				onDue(one);
			} else {
				arm(one);
			}
		});
	};

	return arm;
}
