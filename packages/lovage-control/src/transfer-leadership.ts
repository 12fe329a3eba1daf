import {listMembers} from '@lovagevalve/control-role';
import type {Clock} from '@lovagevalve/runtime';
import type {ControlHost} from './host.js';

const TRANSFER_TIMEOUT_MS = 3000;
const POLL_INTERVAL_MS = 20;

function hasPendingRequests(host: ControlHost): boolean {
	const {waiting, reads, joins} = host.getState();
	return waiting.size + reads.size + joins.size > 0;
}

function canTransferLeadership(host: ControlHost): boolean {
	const state = host.getState();
	const voters = listMembers(state).filter(({voter}) => voter);
	return state.raft.role.kind === 'leader' && voters.length > 1;
}

async function waitWhile(
	condition: () => boolean,
	clock: Clock,
): Promise<void> {
	const end = clock.now() + TRANSFER_TIMEOUT_MS;
	while (condition() && clock.now() < end) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise((resolve) => {
			setTimeout(resolve, POLL_INTERVAL_MS);
		});
	}
}

/**
 * Waits for pending requests, then transfers leadership to another voter, so that
 * a planned stop does not cost the group an election timeout. Each of the two
 * steps is abandoned after `TRANSFER_TIMEOUT_MS`.
 */
export async function transferLeadership(
	host: ControlHost,
	clock: Clock,
): Promise<void> {
	await waitWhile(() => hasPendingRequests(host), clock);
	if (canTransferLeadership(host)) {
		host.dispatchEvent({kind: 'transfer-requested'});
		await waitWhile(() => canTransferLeadership(host), clock);
	}
}
