import type {DispatchReply} from '@lovagevalve/claims';
import {DEFAULT_RETRY_AFTER_MS, type RefusalDetail} from './refusals.js';

/** Creates the refusal for a call that ends without a backend server's answer. */
export function createReplyRefusal(
	reply: Exclude<DispatchReply, {kind: 'done'}>,
): RefusalDetail {
	switch (reply.kind) {
		case 'in-progress': {
			return {
				reason: 'in-progress',
				detail: 'This request is running.',
				outcome: 'in-progress',
				retryAfterMs: DEFAULT_RETRY_AFTER_MS,
			};
		}

		case 'not-run': {
			return {
				reason: 'not-run',
				detail: `Attempts up to ${reply.attempt} of this request were not run; send it again with a higher attempt.`,
				outcome: 'not-run',
			};
		}

		case 'unknown': {
			return {
				reason: 'outcome-unknown',
				detail:
					'The request was handed to a backend server and its outcome is not known; it is not run again.',
				outcome: 'unknown',
			};
		}

		case 'conflict': {
			return {
				reason: 'conflict',
				detail: 'This request id was used with another body.',
			};
		}

		case 'too-old': {
			return {
				reason: 'id-too-old',
				detail: 'This request id is older than the retention of claims.',
			};
		}

		case 'overloaded': {
			return {
				reason: 'overloaded',
				detail: 'The control group keeps as many claims as it can.',
				retryAfterMs: DEFAULT_RETRY_AFTER_MS,
			};
		}

		case 'unsettled': {
			return {
				reason: 'unsettled',
				detail:
					'This entry did not run the request, but no quorum confirms that no other copy of it runs; send the same id again.',
				retryAfterMs: DEFAULT_RETRY_AFTER_MS,
			};
		}
	}
}
