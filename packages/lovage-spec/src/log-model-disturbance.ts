import {
	allGuards,
	createRaft,
	defaultSettings,
	type RaftMessage,
	type RaftSettings,
	type RaftState,
} from '@lovagevalve/consensus';
import {explore, type ModelEvent} from './explore.js';
import {
	createWorld,
	stepNode,
	findTarget,
	replaceNode,
	syncNode,
	type LogWorld,
	type Outcome,
} from './log-model-world.js';
import type {Model} from './model.js';

const REPLICAS = ['a', 'b', 'c'];
const TICK_MS = 250;
const TICKS = 20;
const LINK_CHANGES = 2;

/**
 * Blocked links (sender and receiver) by scenario; those between a and b always
 * work.
 */
const BLOCKED_LINKS: Readonly<Record<string, readonly string[]>> = {
	'all links work': [],
	'c is isolated': ['ac', 'ca', 'bc', 'cb'],
	'c cannot hear a': ['ac'],
	'c cannot be heard': ['ca', 'cb'],
	'c cannot hear': ['ac', 'bc'],
};

type State = Readonly<{
	world: LogWorld;
	now: number;
	links: string;
	changesLeft: number;
	ticksLeft: number;
}>;

type Event = ModelEvent &
	(Readonly<{type: 'tick'}> | Readonly<{type: 'links'; links: string}>);

function keepTimers(raft: RaftState): RaftState {
	return raft;
}

function isDelivered(links: string, {from, to}: RaftMessage): boolean {
	return !BLOCKED_LINKS[links]!.includes(`${from}${to}`);
}

function deliverAll(outcome: Outcome, now: number, links: string): LogWorld {
	const [message, ...rest] = outcome.messages;
	if (message === undefined) {
		return outcome.world;
	}

	if (!isDelivered(links, message)) {
		return deliverAll({world: outcome.world, messages: rest}, now, links);
	}

	const target = findTarget(outcome.world, message);
	const event = {kind: 'received', now, message} as const;
	const received = stepNode(outcome.world, target, event, keepTimers);
	const synced = syncNode(received.world, target, now, keepTimers);
	const messages = [...rest, ...received.messages, ...synced.messages];
	return deliverAll({world: synced.world, messages}, now, links);
}

function tickNode(
	world: LogWorld,
	node: number,
	now: number,
	links: string,
): LogWorld {
	const ticked = stepNode(world, node, {kind: 'ticked', now}, keepTimers);
	const synced = syncNode(ticked.world, node, now, keepTimers);
	const messages = [...ticked.messages, ...synced.messages];
	return deliverAll({world: synced.world, messages}, now, links);
}

function step(state: State, event: Event): State {
	switch (event.type) {
		case 'links': {
			const changesLeft = state.changesLeft - 1;
			return {...state, links: event.links, changesLeft};
		}

		case 'tick': {
			const now = state.now + TICK_MS;
			const world = REPLICAS.reduce(
				(before, _, node) => tickNode(before, node, now, state.links),
				state.world,
			);
			return {...state, world, now, ticksLeft: state.ticksLeft - 1};
		}
	}
}

function listEvents({links, changesLeft, ticksLeft}: State): readonly Event[] {
	const others = Object.keys(BLOCKED_LINKS).filter(
		(name) => changesLeft > 0 && name !== links,
	);
	return [
		...(ticksLeft > 0 ? [{type: 'tick'} as const] : []),
		...others.map((name) => ({type: 'links', links: name}) as const),
	];
}

/**
 * Creates a group with a leader, whose replicas draw election timeouts from
 * different seeds.
 */
function createGroupWithLeader(settings: RaftSettings): State {
	const now = 0;
	const initialWorld = createWorld(REPLICAS, settings);
	const seeded = initialWorld.nodes.reduce(
		(world, {disk, unsynced}, node) =>
			replaceNode(world, node, {
				raft: createRaft({
					recovered: disk,
					settings,
					// The smallest seed draws the shortest timeout first, so replica a is
					// elected.
					seed: 1 + node * 10_000,
					now,
				}),
				disk,
				unsynced,
			}),
		initialWorld,
	);
	const links = 'all links work';
	const initialState: State = {
		world: seeded,
		now,
		links,
		changesLeft: LINK_CHANGES,
		ticksLeft: TICKS,
	};
	const ticks = Array.from({length: 10}, () => ({type: 'tick'}) as const);
	return {...ticks.reduce(step, initialState), ticksLeft: TICKS};
}

function findViolation({world}: State): string | undefined {
	return world.nodes[0]!.raft.role.kind === 'leader'
		? world.violation
		: 'a leader with a quorum stays';
}

/**
 * Link failures of one replica, which must not depose a leader that has a
 * quorum.
 */
export const logDisturbanceModel: Model = {
	name: 'log: disturbance',
	guards: ['preVote', 'checkQuorum'],
	bounds: `${REPLICAS.length} replicas, ${TICKS} heartbeat intervals, ${LINK_CHANGES} changes of links`,
	run(disabledGuards) {
		const off = disabledGuards.map((name) => [name, false] as const);
		const guards = {...allGuards, ...Object.fromEntries(off)};
		const settings = {...defaultSettings, guards};
		return explore<State, Event>({
			initial: createGroupWithLeader(settings),
			events: listEvents,
			step,
			findViolation,
			createKey: ({world, ...rest}) =>
				JSON.stringify([rest, world.nodes.map(({raft}) => raft)]),
		});
	},
};
