import {encodeStateMachine} from './state-machine.js';
import {proposeInternal, runRaft} from './handle-raft.js';
import {type StepContext, update, updateLeaderState} from './step-context.js';

/** Delay before a leader repeats a request for the order grant that got lost. */
const GRANT_RETRY_INTERVAL_MS = 2000;

function requestOrderGrant(context: StepContext): StepContext {
	const {leaderState, stateMachine} = context.state;
	if (
		leaderState === undefined ||
		stateMachine.orders.holder === leaderState.orders.holder ||
		context.now < leaderState.nextGrantRequestAt
	) {
		return context;
	}

	const nextGrantRequestAt = context.now + GRANT_RETRY_INTERVAL_MS;
	const asked = updateLeaderState(context, (current) => ({
		...current,
		nextGrantRequestAt,
	}));
	const {holder} = leaderState.orders;
	return proposeInternal(asked, {kind: 'take-orders', holder});
}

function takeSnapshot(context: StepContext): StepContext {
	const {stateMachine, settings, snapshotIndex} = context.state;
	const index = stateMachine.appliedIndex;
	return index - snapshotIndex < settings.snapshotEveryEntries
		? context
		: runRaft(update(context, {snapshotIndex: index}), {
				kind: 'snapshot-taken',
				index,
				data: encodeStateMachine(stateMachine),
			});
}

/** Runs at the end of each step: requests the order grant and takes snapshots. */
export function finishStep(context: StepContext): StepContext {
	return takeSnapshot(requestOrderGrant(context));
}
