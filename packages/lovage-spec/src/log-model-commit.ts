import {explore, type ModelEvent} from './explore.js';
import {holdElection, exchange} from './log-model-exchange.js';
import {
	createGuards,
	createSettings,
	createWorld,
	restartNode,
	type LogWorld,
} from './log-model-world.js';
import {createWorldKey} from './log-model-key.js';
import type {Model} from './model.js';

const REPLICAS = ['a', 'b', 'c'];

/** Limits of a model after the first election. */
type Bounds = Readonly<{
	elections: number;
	crashes: number;
	/** Numbers of messages after which an exchange may be cut off. */
	limits: readonly number[];
	/** Whether writes may stay unsynced. */
	syncs: readonly boolean[];
}>;

type State = Readonly<{world: LogWorld; elections: number; crashes: number}>;

type Event = ModelEvent &
	(
		| Readonly<{type: 'elect'; candidate: number; voter: number}>
		| Readonly<{
				type: 'exchange';
				leader: number;
				follower: number;
				messages: number;
				isSynced: boolean;
		  }>
		| Readonly<{type: 'crash'; node: number}>
	);

const NODES = REPLICAS.map((_, node) => node);
const PAIRS = NODES.flatMap((first) =>
	NODES.filter((second) => second !== first).map(
		(second) => [first, second] as const,
	),
);

function isLeader(world: LogWorld, node: number): boolean {
	return world.nodes[node]!.raft.role.kind === 'leader';
}

function listEvents(
	{limits, syncs}: Bounds,
	{world, elections, crashes}: State,
): readonly Event[] {
	const votes = PAIRS.filter(
		([candidate]) => elections > 0 && !isLeader(world, candidate),
	).map(([candidate, voter]): Event => ({type: 'elect', candidate, voter}));
	const exchanges = PAIRS.filter(([leader]) => isLeader(world, leader)).flatMap(
		([leader, follower]) =>
			limits.flatMap((messages) =>
				syncs.map((isSynced): Event => ({
					type: 'exchange',
					leader,
					follower,
					messages,
					isSynced,
				})),
			),
	);
	const failures = NODES.filter(() => crashes > 0).map((node): Event => ({
		type: 'crash',
		node,
	}));
	return [...votes, ...exchanges, ...failures];
}

function step(state: State, event: Event): State {
	const {world, elections, crashes} = state;
	switch (event.type) {
		case 'elect': {
			const {candidate, voter} = event;
			const afterElection = holdElection(world, candidate, voter);
			return {...state, world: afterElection, elections: elections - 1};
		}

		case 'exchange': {
			const {leader, follower, messages, isSynced} = event;
			const pair = [leader, follower] as const;
			return {...state, world: exchange(world, pair, messages, isSynced)};
		}

		case 'crash': {
			const restarted = restartNode(world, event.node);
			return {...state, world: restarted, crashes: crashes - 1};
		}
	}
}

function createModel(
	name: string,
	guards: readonly string[],
	bounds: Bounds,
): Model {
	const {elections, crashes, limits} = bounds;
	return {
		name,
		guards,
		bounds: `${REPLICAS.length} replicas, ${elections + 1} elections, ${crashes} crashes, exchanges cut after ${limits.join(' or ')} messages`,
		run(disabledGuards) {
			const settings = createSettings(createGuards(disabledGuards));
			const initialWorld = createWorld(REPLICAS, settings);
			return explore<State, Event>({
				// The replicas are symmetric, so it doesn't matter which one wins
				// first.
				initial: {world: holdElection(initialWorld, 0, 1), elections, crashes},
				events: (state) => listEvents(bounds, state),
				step,
				findViolation: ({world}) => world.violation,
				createKey: (state) =>
					`${state.elections} ${state.crashes} ${createWorldKey(state.world)}`,
			});
		},
	};
}

/** Commitment under crashes that lose unsynced writes. */
export const logCrashModel: Model = createModel(
	'log: commit and crash',
	['logUpToDateCheck', 'syncBeforeAcknowledge'],
	{elections: 1, crashes: 1, limits: [4], syncs: [true, false]},
);

/**
 * Commitment of entries from earlier terms under repeated changes of leader.
 */
export const logCommitModel: Model = createModel(
	'log: commit of former terms',
	['commitOwnTermOnly'],
	{elections: 3, crashes: 0, limits: [4], syncs: [true]},
);
