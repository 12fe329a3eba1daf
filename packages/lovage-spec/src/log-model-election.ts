import type {RaftMessage} from '@lovagevalve/consensus';
import {explore, type ModelEvent} from './explore.js';
import {createWorldKey} from './log-model-key.js';
import {
	createGuards,
	createSettings,
	createWorld,
	stepNode,
	findTarget,
	AFTER_ALL_TIMERS_MS,
	NOW_MS,
	restartNode,
	syncNode,
	type LogWorld,
	type Outcome,
} from './log-model-world.js';
import type {Model} from './model.js';

const REPLICAS = ['a', 'b', 'c'];
const TIMEOUTS = 2;
const CRASHES = 1;
const NODES = REPLICAS.map((_, node) => node);

type State = Readonly<{
	world: LogWorld;
	/** Messages in flight; each may arrive in any order or never. */
	messages: readonly RaftMessage[];
	timeouts: number;
	crashes: number;
}>;

type Event = ModelEvent &
	(
		| Readonly<{type: 'timeout' | 'sync' | 'crash'; node: number}>
		| Readonly<{
				type: 'deliver';
				position: number;
				kind: string;
				from: string;
				to: string;
				term: number;
		  }>
	);

function listEvents(state: State): readonly Event[] {
	const {world, messages, timeouts, crashes} = state;
	const isNotLeader = (node: number): boolean =>
		world.nodes[node]!.raft.role.kind !== 'leader';
	const candidates = NODES.filter((node) => timeouts > 0 && isNotLeader(node));
	const unsynced = NODES.filter(
		(node) => world.nodes[node]!.unsynced.length > 0,
	);
	return [
		...candidates.map((node): Event => ({type: 'timeout', node})),
		...unsynced.map((node): Event => ({type: 'sync', node})),
		...NODES.filter(() => crashes > 0).map((node): Event => ({
			type: 'crash',
			node,
		})),
		...messages.map(({kind, from, to, term}, position): Event => ({
			type: 'deliver',
			position,
			kind,
			from,
			to,
			term,
		})),
	];
}

function serializeMessage(message: RaftMessage): string {
	return JSON.stringify(message);
}

/**
 * Adds the messages of an outcome except appends: replication is not part of
 * this model.
 */
function addMessages(state: State, {world, messages}: Outcome): State {
	const votes = messages.filter(({kind}) => kind !== 'append');
	const all = [...state.messages, ...votes].toSorted((a, b) =>
		serializeMessage(a) < serializeMessage(b) ? -1 : 1,
	);
	return {...state, world, messages: all};
}

function step(state: State, event: Event): State {
	const {world, messages, timeouts, crashes} = state;
	switch (event.type) {
		case 'timeout': {
			const expired = stepNode(world, event.node, {
				kind: 'ticked',
				now: AFTER_ALL_TIMERS_MS,
			});
			return addMessages({...state, timeouts: timeouts - 1}, expired);
		}

		case 'sync': {
			return addMessages(state, syncNode(world, event.node));
		}

		case 'crash': {
			const restarted = restartNode(world, event.node);
			return {...state, world: restarted, crashes: crashes - 1};
		}

		case 'deliver': {
			const message = messages[event.position]!;
			const rest = messages.filter((other) => other !== message);
			const target = findTarget(world, message);
			const received = {kind: 'received', now: NOW_MS, message} as const;
			return addMessages(
				{...state, messages: rest},
				stepNode(world, target, received),
			);
		}
	}
}

/** Elections under crashes and messages that arrive in any order. */
export const logElectionModel: Model = {
	name: 'log: election',
	guards: ['voteOncePerTerm', 'syncBeforeVote'],
	bounds: `${REPLICAS.length} replicas, ${TIMEOUTS} timeouts, ${CRASHES} crash`,
	run(disabledGuards) {
		const settings = createSettings(createGuards(disabledGuards));
		return explore<State, Event>({
			initial: {
				world: createWorld(REPLICAS, settings),
				messages: [],
				timeouts: TIMEOUTS,
				crashes: CRASHES,
			},
			events: listEvents,
			step,
			findViolation: ({world}) => world.violation,
			createKey: ({world, messages, timeouts, crashes}) =>
				[
					timeouts,
					crashes,
					messages.map(serializeMessage).join(' '),
					createWorldKey(world, true),
				].join(' '),
		});
	},
};
