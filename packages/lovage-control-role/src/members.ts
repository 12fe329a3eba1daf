import type {Member} from '@lovagevalve/consensus';
import type {ControlState} from './control-types.js';

/** Members of the group as this instance's log names them. */
export function listMembers({raft}: ControlState): readonly Member[] {
	return raft.log.memberships.at(-1)?.members ?? [];
}
