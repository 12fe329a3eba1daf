import type {RaftMessage} from '@lovagevalve/consensus';
import {
	stepNode,
	findTarget,
	AFTER_ALL_TIMERS_MS,
	NOW_MS,
	syncNode,
	type LogWorld,
	type Outcome,
} from './log-model-world.js';

type Delivery = Readonly<{
	world: LogWorld;
	queue: readonly RaftMessage[];
	/** Messages that may still be delivered; later ones are lost. */
	remaining: number;
}>;

function syncOutcome(
	outcome: Outcome,
	node: number,
	isSynced: boolean,
): Outcome {
	if (!isSynced) {
		return outcome;
	}

	const synced = syncNode(outcome.world, node);
	return {
		world: synced.world,
		messages: [...outcome.messages, ...synced.messages],
	};
}

function deliverNext(
	delivery: Delivery,
	pair: readonly number[],
	isSynced: boolean,
): Delivery {
	const [message, ...queue] = delivery.queue;
	if (message === undefined || delivery.remaining === 0) {
		return delivery;
	}

	const target = findTarget(delivery.world, message);
	if (!pair.includes(target)) {
		return deliverNext({...delivery, queue}, pair, isSynced);
	}

	const received = stepNode(delivery.world, target, {
		kind: 'received',
		now: NOW_MS,
		message,
	});
	const {world, messages} = syncOutcome(received, target, isSynced);
	return deliverNext(
		{world, queue: [...queue, ...messages], remaining: delivery.remaining - 1},
		pair,
		isSynced,
	);
}

/**
 * Delivers up to `limit` messages between two replicas; all others are lost.
 */
export function deliverBetween(
	outcome: Outcome,
	pair: readonly [number, number],
	limit: number,
	isSynced = true,
): LogWorld {
	const {world, messages} = outcome;
	const start: Delivery = {world, queue: messages, remaining: limit};
	return deliverNext(start, pair, isSynced).world;
}

/** Expires a replica's timers and, if `isSynced`, syncs its writes. */
export function expireTimers(
	world: LogWorld,
	node: number,
	isSynced = true,
): Outcome {
	const ticked = stepNode(world, node, {
		kind: 'ticked',
		now: AFTER_ALL_TIMERS_MS,
	});
	return syncOutcome(ticked, node, isSynced);
}

const VOTE_MESSAGES = 2;

/**
 * Runs an election in which the candidate reaches one voter; messages of the
 * winner are lost.
 */
export function holdElection(
	world: LogWorld,
	candidate: number,
	voter: number,
): LogWorld {
	const campaign = expireTimers(world, candidate);
	const voted = deliverBetween(campaign, [candidate, voter], VOTE_MESSAGES);
	return syncNode(voted, candidate).world;
}

/**
 * Runs a heartbeat round between a leader and one replica, cut off after
 * `limit` messages.
 */
export function exchange(
	world: LogWorld,
	pair: readonly [number, number],
	limit: number,
	isSynced = true,
): LogWorld {
	const sent = expireTimers(world, pair[0], isSynced);
	return deliverBetween(sent, pair, limit, isSynced);
}
