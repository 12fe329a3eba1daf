import {listMembers} from '@lovagevalve/control-role';
import type {Clock} from '@lovagevalve/runtime';
import type {ControlHost} from './host.js';

const TRANSFER_TIMEOUT_MS = 3000;
const POLL_INTERVAL_MS = 20;

function holdsWork(host: ControlHost): boolean {
	const {waiting, reads, joins} = host.read();
	return waiting.size + reads.size + joins.size > 0;
}

function isLeaderOfOthers(host: ControlHost): boolean {
	const state = host.read();
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
 * Answers what is under way and hands the lead to another voter, so that a
 * planned stop costs no election timeout. Gives up after a bounded time.
 */
export async function transferLead(
	host: ControlHost,
	clock: Clock,
): Promise<void> {
	await waitWhile(() => holdsWork(host), clock);
	if (isLeaderOfOthers(host)) {
		host.feed({kind: 'transfer-requested'});
		await waitWhile(() => isLeaderOfOthers(host), clock);
	}
}
