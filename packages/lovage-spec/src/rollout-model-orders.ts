import {judgeOrder} from '@lovagevalve/rollout';
import {explore, type ModelEvent} from './explore.js';
import type {ModelResult} from './model.js';
import {
	append,
	applyEach,
	applyEntries,
	createChange,
	createLog,
	createOrder,
	describeLog,
	findLogViolation,
	INSTANCES,
	type IsGuardEnabled,
	listLogEvents,
	type Log,
	type LogEvent,
	replaceAt,
	SERVICE,
	stepLog,
} from './rollout-model-log.js';

/** Versions that operators order; one of them resends its order. */
const ORDERED = ['v2', 'v3', 'v2'] as const;
/** Index of the order that is sent again. */
const RESENT = 2;
const LEADER_CHANGES = 1;
/** The first version, two orders, a verdict on one and a late one. */
const MAX_ENTRIES = 5;

type Request =
	| Readonly<{phase: 'new' | 'refused'}>
	| Readonly<{
			phase: 'proposed';
			instance: number;
			/** Number of entries up to the order. */
			count: number;
			/** Number of committed entries when the order was judged. */
			since: number;
	  }>
	| Readonly<{phase: 'acknowledged'; since: number}>;

type World = Readonly<{log: Log; requests: readonly Request[]}>;

type WorldEvent = ModelEvent &
	(
		| LogEvent
		| Readonly<{type: 'an order arrives'; request: number; instance: number}>
		| Readonly<{type: 'an order is answered'; request: number}>
		| Readonly<{type: 'the leader ends the order'}>
	);

const toId = (request: number): string => `request ${request}`;

function setRequest(world: World, index: number, request: Request): World {
	return {...world, requests: replaceAt(world.requests, index, request)};
}

function receiveOrder(
	world: World,
	index: number,
	instance: number,
	isGuardEnabled: IsGuardEnabled,
): World {
	const {log} = world;
	const to = ORDERED[index]!;
	const {rollouts} = applyEntries(
		log.entries,
		log.applied[instance]!,
		isGuardEnabled,
	);
	const since = log.committed;
	switch (judgeOrder(rollouts, {service: SERVICE, to})) {
		case 'repeated': {
			return setRequest(world, index, {phase: 'acknowledged', since});
		}

		case 'conflicting': {
			return setRequest(world, index, {phase: 'refused'});
		}

		case 'accepted': {
			// Nothing that a deposed leader proposes is committed; the order is sent again.
			if (instance !== log.leader) {
				return world;
			}

			const appended = append(log, toId(index), createOrder(to));
			const count = appended.entries.length;
			return setRequest(
				{...world, log: appended},
				index,
				isGuardEnabled('commitBeforeAcknowledge')
					? {phase: 'proposed', instance, count, since}
					: {phase: 'acknowledged', since},
			);
		}
	}
}

function answerOrder(
	world: World,
	index: number,
	isGuardEnabled: IsGuardEnabled,
): World {
	const {log, requests} = world;
	const request = requests[index]!;
	if (request.phase !== 'proposed') {
		return world;
	}

	const {instance, count, since} = request;
	if (log.entries[count - 1]?.id !== toId(index)) {
		return setRequest(world, index, {phase: 'new'});
	}

	const {order} = applyEntries(
		log.entries,
		log.applied[instance]!,
		isGuardEnabled,
	);
	const isInForce = order?.to === ORDERED[index];
	return setRequest(
		world,
		index,
		isInForce || !isGuardEnabled('checkAfterCommit')
			? {phase: 'acknowledged', since}
			: {phase: 'refused'},
	);
}

function createStep(isGuardEnabled: IsGuardEnabled) {
	return (world: World, event: WorldEvent): World => {
		switch (event.type) {
			case 'an order arrives': {
				const {request, instance} = event;
				return receiveOrder(world, request, instance, isGuardEnabled);
			}

			case 'an order is answered': {
				return answerOrder(world, event.request, isGuardEnabled);
			}

			case 'the leader ends the order': {
				const {log} = world;
				const {entries, applied, leader} = log;
				const {order} = applyEntries(entries, applied[leader]!, isGuardEnabled);
				const change = createChange(order!, 'succeeded', order!.step);
				return {...world, log: append(log, 'verdict', change)};
			}

			case 'an entry is committed':
			case 'an instance applies what is committed':
			case 'the leader changes': {
				return {...world, log: stepLog(world.log, event)};
			}
		}
	};
}

function listRequestEvents(
	{log, requests}: World,
	isGuardEnabled: IsGuardEnabled,
): WorldEvent[] {
	const isConfirmed = (instance: number): boolean =>
		(instance === log.leader && log.applied[instance] === log.committed) ||
		!isGuardEnabled('confirmRead');
	return requests.flatMap((request, index): WorldEvent[] => {
		const isResent = index === RESENT && requests[0]!.phase === 'new';
		if (request.phase === 'new' && !isResent) {
			return INSTANCES.filter(isConfirmed).map((instance) => ({
				type: 'an order arrives',
				request: index,
				instance,
			}));
		}

		if (request.phase !== 'proposed') {
			return [];
		}

		const {instance, count} = request;
		const isApplied = log.applied[instance]! >= count;
		const isLost = log.entries[count - 1]?.id !== toId(index);
		return isApplied || isLost
			? [{type: 'an order is answered', request: index}]
			: [];
	});
}

function createEventLister(isGuardEnabled: IsGuardEnabled) {
	return (world: World): WorldEvent[] => {
		const {log} = world;
		const {entries, applied, leader} = log;
		const hasRoom = entries.length < MAX_ENTRIES;
		const {order} = applyEntries(entries, applied[leader]!, isGuardEnabled);
		return [
			...listLogEvents(log),
			...listRequestEvents(world, isGuardEnabled).filter(
				({type}) => hasRoom || type !== 'an order arrives',
			),
			...(hasRoom && order?.stage === 'running'
				? [{type: 'the leader ends the order'} as const]
				: []),
		];
	};
}

/** Whether an acknowledged order was the newest one in the log since it was judged. */
function isInLog(
	{entries}: Log,
	to: string,
	since: number,
	isGuardEnabled: IsGuardEnabled,
): boolean {
	return applyEach(entries, isGuardEnabled)
		.slice(since)
		.some(({order}) => order?.to === to);
}

/** Explores orders that are resent while the leader changes and judges them. */
export function exploreOrders(isGuardEnabled: IsGuardEnabled): ModelResult {
	return explore<World, WorldEvent>({
		initial: {
			log: createLog([], LEADER_CHANGES),
			requests: ORDERED.map(() => ({phase: 'new'})),
		},
		events: createEventLister(isGuardEnabled),
		step: createStep(isGuardEnabled),
		createKey: ({log, requests}) =>
			JSON.stringify([describeLog(log), requests]),
		findViolation({log, requests}) {
			const isLost = requests.some(
				(request, i) =>
					request.phase === 'acknowledged' &&
					!isInLog(log, ORDERED[i]!, request.since, isGuardEnabled),
			);
			return isLost
				? 'an acknowledged order is not lost'
				: findLogViolation(log, isGuardEnabled);
		},
	});
}
