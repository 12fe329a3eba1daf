import {encodeMachine} from './machine.js';
import {proposeInternal, runRaft} from './handle-raft.js';
import {type Turn, update, updateLeadership} from './turn.js';

/** After this, a leader whose request for the right got lost asks again. */
const ASK_AGAIN_MS = 2000;

function askForOrders(turn: Turn): Turn {
	const {leadership, machine} = turn.state;
	if (
		leadership === undefined ||
		machine.orders.holder === leadership.orders.holder ||
		turn.now < leadership.askOrdersAt
	) {
		return turn;
	}

	const askOrdersAt = turn.now + ASK_AGAIN_MS;
	const asked = updateLeadership(turn, (current) => ({
		...current,
		askOrdersAt,
	}));
	const {holder} = leadership.orders;
	return proposeInternal(asked, {kind: 'take-orders', holder});
}

function takeSnapshot(turn: Turn): Turn {
	const {machine, settings, snapshotIndex} = turn.state;
	const index = machine.appliedIndex;
	return index - snapshotIndex < settings.snapshotEveryEntries
		? turn
		: runRaft(update(turn, {snapshotIndex: index}), {
				kind: 'snapshot-taken',
				index,
				data: encodeMachine(machine),
			});
}

/** Does what follows from a step, after every effect of it was handled. */
export function finish(turn: Turn): Turn {
	return takeSnapshot(askForOrders(turn));
}
