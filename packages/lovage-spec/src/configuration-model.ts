import {exploreLeases} from './configuration-model-leases.js';
import {exploreOperators} from './configuration-model-operators.js';
import {type Model, runSequentially} from './model.js';

/**
 * Configuration changes: concurrent operators, and the version in force at an
 * entry.
 */
export const configurationModel: Model = {
	name: 'configuration',
	guards: [
		'baseVersionCheck',
		'operationHistory',
		'quorumReadBeforeLease',
		'waitForLeases',
		'predecessorLeases',
		'driftBound',
		'failClosed',
		'countFromAsking',
		'ignoreOlderGrant',
	],
	bounds:
		'two operators with one resend each; one entry with 2 renewals, one change, one change of the leader, either a restart or 4 ticks with a lease of 2, clocks that drift by 1%',
	run(disabledGuards) {
		const isGuardEnabled = (guard: string) => !disabledGuards.includes(guard);
		return runSequentially([
			() => exploreOperators(isGuardEnabled),
			() => exploreLeases(isGuardEnabled),
		]);
	},
};
