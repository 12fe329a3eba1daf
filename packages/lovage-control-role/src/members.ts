import type {Member} from '@lovagevalve/consensus';
import type {ControlState} from './control-types.js';

/** Returns the latest membership in this instance's log, committed or not. */
export function listMembers({raft}: ControlState): readonly Member[] {
	return raft.log.memberships.at(-1)?.members ?? [];
}
