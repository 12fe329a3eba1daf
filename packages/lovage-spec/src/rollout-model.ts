import {ROLLOUT_GUARDS} from '@lovagevalve/rollout';
import {type Model, runSequentially} from './model.js';
import {exploreOrders} from './rollout-model-orders.js';
import type {VerdictBounds} from './rollout-model-entries.js';
import {exploreVerdicts} from './rollout-model-verdicts.js';

/** An entry is silent while the leader stays. */
const SILENCE: VerdictBounds = {
	instances: 1,
	entries: 2,
	steps: 1,
	maxLength: 5,
	leaderChanges: 0,
	silences: 1,
};
/** The leader changes while all entries report, to both instances. */
const LEADER_CHANGE: VerdictBounds = {
	instances: 2,
	entries: 1,
	steps: 2,
	maxLength: 6,
	leaderChanges: 1,
	silences: 0,
};

/**
 * Orders of roll-outs, their shares and verdicts, while the leader changes or is
 * restarted, or entries are silent.
 */
export const rolloutModel: Model = {
	name: 'roll-outs',
	guards: [
		...ROLLOUT_GUARDS,
		'confirmRead',
		'commitBeforeAcknowledge',
		'checkAfterCommit',
		'commitBeforeShare',
		'newerRevisionOnly',
		'fullShareFirst',
		'fullShareKnown',
		'leadLongEnough',
		'waitForSilent',
	],
	bounds:
		'one change of the leader, which may lose what is not committed and leaves the next one without counts; orders for two versions, one sent twice, in a log of 5 entries; the last two steps and the verdict at an entry that hears either instance, in a log of 6 entries; the last step at two entries, one of which is silent and then returns or counts as ended',
	run(disabledGuards) {
		const isGuardEnabled = (guard: string) => !disabledGuards.includes(guard);
		return runSequentially([
			() => exploreVerdicts(LEADER_CHANGE, isGuardEnabled),
			() => exploreVerdicts(SILENCE, isGuardEnabled),
			() => exploreOrders(isGuardEnabled),
		]);
	},
};
