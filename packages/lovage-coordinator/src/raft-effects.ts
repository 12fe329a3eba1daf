import type {RaftEffect, RaftMessage} from '@lovagevalve/consensus';
import type {Logger} from '@lovagevalve/runtime';
import type {DiskStore} from '@lovagevalve/storage';
import type {AppliedState, DueSnapshot} from './applied-state.js';
import type {PendingRequests} from './pending-requests.js';
import type {GroupState} from './state-machine.js';

/** What the effects of a Raft step act on. */
export type EffectRunnerOptions = Readonly<{
	log: Logger;
	applied: AppliedState;
	pending: PendingRequests;
	send: (message: RaftMessage) => void;
	/** Writes to the data folder, if that is open. */
	persist: DiskStore['write'];
	/** Called after entries were applied. */
	onApplied: (state: GroupState) => void;
	/** Called with a snapshot once the step that led to it has ended. */
	onSnapshot: (snapshot: DueSnapshot) => void;
}>;

/** Creates a function that runs one effect of a Raft step. */
export function createEffectRunner({
	log,
	applied,
	pending,
	send,
	persist,
	onApplied,
	onSnapshot,
}: EffectRunnerOptions): (effect: RaftEffect) => void {
	const takeSnapshot = (): void => {
		// The snapshot tells a restarted replica what is committed, so that it can
		// serve entries before a leader is elected.
		const snapshot = applied.takeDueSnapshot();
		if (snapshot !== undefined) {
			// Deferred because an effect must not change the state that produced it.
			queueMicrotask(() => {
				onSnapshot(snapshot);
			});
		}
	};

	return (effect) => {
		switch (effect.kind) {
			case 'send': {
				send(effect.message);
				break;
			}

			case 'persist':
			case 'persist-snapshot': {
				persist(effect);
				break;
			}

			case 'apply': {
				effect.entries.forEach((entry) => {
					applied.apply(entry);
					pending.settleApplied(entry.index, entry.term);
				});
				onApplied(applied.read());
				takeSnapshot();
				break;
			}

			case 'install-snapshot': {
				applied.install(effect.snapshot);
				onApplied(applied.read());
				break;
			}

			case 'proposal-accepted': {
				pending.accept(effect.proposal, effect.firstIndex, effect.term);
				break;
			}

			case 'proposal-refused': {
				pending.refuse(effect.proposal);
				break;
			}

			case 'read-confirmed':
			case 'read-refused': {
				pending.settleRead(effect.read, effect.kind === 'read-confirmed');
				break;
			}

			case 'became-leader': {
				log.info('This instance leads the group.', {term: effect.term});
				break;
			}

			case 'stepped-down': {
				log.info('This instance no longer leads the group.', {
					term: effect.term,
				});
				pending.abandonAll();
				break;
			}

			case 'initialise-answered': {
				log.info('Group bootstrap finished.', {outcome: effect.outcome});
				break;
			}

			case 'membership-answered': {
				log.info('A membership change was requested.', {
					replica: effect.replica,
					outcome: effect.outcome,
				});
				break;
			}
		}
	};
}
