import {setTimeout as sleep} from 'node:timers/promises';
import type {Clock} from '@lovagevalve/runtime';
import type {LeaderClient} from './leader-client.js';
import type {Replica} from './replica.js';

/** Time for a successor to take over leadership before this replica leaves. */
const LEADERSHIP_TRANSFER_MS = 300;
/** Time for a new leader to be elected and for a change of the members. */
const MAX_LEAVE_MS = 2000;
const LEAVE_POLL_MS = 60;

/**
 * Hands over leadership and leaves the group if it has more voters than it needs;
 * the next one may be lost at once.
 */
export async function leaveGroup({
	clock,
	replica,
	leader,
}: Readonly<{
	clock: Clock;
	replica: Pick<Replica, 'transferLeadership' | 'readRaft' | 'isSpareVoter'>;
	leader: Pick<LeaderClient, 'leave'>;
}>): Promise<void> {
	replica.transferLeadership();
	await sleep(LEADERSHIP_TRANSFER_MS);
	const endAt = clock.now() + MAX_LEAVE_MS;
	const own = replica.readRaft()?.replica;
	let isRemoved = false;
	while (!isRemoved && replica.isSpareVoter() && clock.now() < endAt) {
		/* eslint-disable no-await-in-loop -- polls until the removal is committed */
		isRemoved = await leader.leave(own);
		await sleep(isRemoved ? 0 : LEAVE_POLL_MS);
		/* eslint-enable no-await-in-loop */
	}
}
