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
	/** Messages that still get through; the rest is lost. */
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

/** Delivers messages between two replicas, at most `limit`; the others are lost. */
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

/** Lets a replica's timers run out, and syncs what it writes. */
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

/** An election that reaches one other voter; what a winner sends is lost. */
export function holdElection(
	world: LogWorld,
	candidate: number,
	voter: number,
): LogWorld {
	const campaign = expireTimers(world, candidate);
	const voted = deliverBetween(campaign, [candidate, voter], VOTE_MESSAGES);
	return syncNode(voted, candidate).world;
}

/** A heartbeat round of a leader with one replica that breaks off after `limit` messages. */
export function exchange(
	world: LogWorld,
	pair: readonly [number, number],
	limit: number,
	isSynced = true,
): LogWorld {
	const sent = expireTimers(world, pair[0], isSynced);
	return deliverBetween(sent, pair, limit, isSynced);
}
