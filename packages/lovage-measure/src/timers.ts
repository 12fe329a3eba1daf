import {getNextDeadline} from '@lovagevalve/generation';
import type {Clock} from './clock.js';
import type {LiveRequest} from './request.js';

/** Creates a function that keeps one timer scheduled for each generation. */
export function createTimerScheduler(
	clock: Clock,
	onDue: (liveRequest: LiveRequest) => void,
): (liveRequest: LiveRequest) => void {
	const scheduleTimer = (liveRequest: LiveRequest) => {
		const deadline = getNextDeadline(liveRequest.state);
		if (liveRequest.hasTimer || deadline === undefined) {
			return;
		}

		liveRequest.hasTimer = true;
		clock.schedule(Math.max(0, deadline - clock.now()), () => {
			liveRequest.hasTimer = false;
			const nextDeadline = getNextDeadline(liveRequest.state);
			if (nextDeadline !== undefined && nextDeadline <= clock.now()) {
				onDue(liveRequest);
			} else {
				scheduleTimer(liveRequest);
			}
		});
	};

	return scheduleTimer;
}
