import type {Member} from '@lovagevalve/consensus';
import type {ControlState} from './control-types.js';
import {listMembers} from './members.js';
import {findUnknownBackends, mergeBackends} from './order-plan.js';
import type {OrderEntry} from './order-types.js';

/** Local state of one control instance; not confirmed by the quorum. */
export type ControlReport = Readonly<{
	replica: string;
	group?: string;
	role: 'unassigned' | 'learner' | 'follower' | 'candidate' | 'leader';
	term: number;
	/** Id of the leader, if this instance knows it. */
	leader?: string;
	commitIndex: number;
	lastIndex: number;
	snapshotIndex: number;
	configurationVersion: number;
	members: readonly Member[];
	unknownBackends: readonly string[];
	orders: readonly OrderEntry[];
}>;

function getRole(
	state: ControlState,
	members: readonly Member[],
): ControlReport['role'] {
	const {role, replica} = state.raft;
	switch (role.kind) {
		case 'unassigned':
		case 'leader': {
			return role.kind;
		}

		case 'pre-candidate':
		case 'candidate': {
			return 'candidate';
		}

		case 'follower': {
			const self = members.find((member) => member.replica === replica);
			return self?.voter ? 'follower' : 'learner';
		}
	}
}

function findLeaderId({raft}: ControlState): string | undefined {
	switch (raft.role.kind) {
		case 'leader': {
			return raft.replica;
		}

		case 'follower': {
			return raft.role.leader;
		}

		case 'unassigned':
		case 'pre-candidate':
		case 'candidate': {
			return undefined;
		}
	}
}

function listUnknownBackends(state: ControlState): readonly string[] {
	const {leaderState, stateMachine} = state;
	return leaderState === undefined || stateMachine.configuration === undefined
		? []
		: findUnknownBackends(
				stateMachine.configuration,
				mergeBackends(leaderState.leases),
			);
}

/** Creates the status report of a control instance. */
export function describeControl(state: ControlState): ControlReport {
	const {raft, stateMachine, leaderState} = state;
	const members = listMembers(state);
	return {
		replica: raft.replica,
		group: raft.hardState.group,
		role: getRole(state, members),
		term: raft.hardState.term,
		leader: findLeaderId(state),
		commitIndex: raft.commitIndex,
		lastIndex: raft.log.baseIndex + raft.log.entries.size,
		snapshotIndex: raft.snapshot?.index ?? 0,
		configurationVersion: stateMachine.version,
		members,
		unknownBackends: listUnknownBackends(state),
		orders: leaderState?.orders.entries ?? [],
	};
}
