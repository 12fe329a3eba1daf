import {explore, type ModelEvent} from './explore.js';
import {deliverBetween, holdElection, exchange} from './log-model-exchange.js';
import {createWorldKey} from './log-model-key.js';
import {
	createGuards,
	createSettings,
	createWorld,
	stepNode,
	NOW_MS,
	type LogWorld,
} from './log-model-world.js';
import type {Model} from './model.js';

const REPLICAS = ['a', 'b', 'c'];
const ELECTIONS = 1;
const READS = 2;
const ROUND_MESSAGES = 4;
const NODES = REPLICAS.map((_, node) => node);
const PAIRS = NODES.flatMap((first) =>
	NODES.filter((second) => second !== first).map(
		(second) => [first, second] as const,
	),
);

type State = Readonly<{world: LogWorld; elections: number; reads: number}>;

type Event = ModelEvent &
	(
		| Readonly<{type: 'elect'; candidate: number; voter: number}>
		| Readonly<{type: 'exchange'; leader: number; follower: number}>
		/** A read whose confirmation round reaches at most one other replica. */
		| Readonly<{type: 'read'; leader: number; reached: number}>
	);

function isLeader(world: LogWorld, node: number): boolean {
	return world.nodes[node]!.raft.role.kind === 'leader';
}

function listEvents({world, elections, reads}: State): readonly Event[] {
	const votes = PAIRS.filter(
		([candidate]) => elections > 0 && !isLeader(world, candidate),
	).map(([candidate, voter]): Event => ({type: 'elect', candidate, voter}));
	const leaderPairs = PAIRS.filter(([leader]) => isLeader(world, leader));
	const exchanges = leaderPairs.map(([leader, follower]): Event => ({
		type: 'exchange',
		leader,
		follower,
	}));
	const readEvents = leaderPairs
		.filter(() => reads > 0)
		.map(([leader, reached]): Event => ({type: 'read', leader, reached}));
	return [...votes, ...exchanges, ...readEvents];
}

function read(world: LogWorld, pair: readonly [number, number]): LogWorld {
	const name = `read ${Object.keys(world.reads).length + 1}`;
	const registered = {
		...world,
		reads: {...world.reads, [name]: world.committed.length},
	};
	const requested = stepNode(registered, pair[0], {
		kind: 'read-requested',
		now: NOW_MS,
		read: name,
	});
	return deliverBetween(requested, pair, ROUND_MESSAGES);
}

function step(state: State, event: Event): State {
	const {world, elections, reads} = state;
	switch (event.type) {
		case 'elect': {
			const afterElection = holdElection(world, event.candidate, event.voter);
			return {...state, world: afterElection, elections: elections - 1};
		}

		case 'exchange': {
			const pair = [event.leader, event.follower] as const;
			return {...state, world: exchange(world, pair, ROUND_MESSAGES)};
		}

		case 'read': {
			const pair = [event.leader, event.reached] as const;
			return {...state, world: read(world, pair), reads: reads - 1};
		}
	}
}

/** Reads from leaders that may have been deposed. */
export const logReadsModel: Model = {
	name: 'log: reads',
	guards: ['readNeedsQuorum', 'readNeedsOwnTermCommit'],
	bounds: `${REPLICAS.length} replicas, ${ELECTIONS + 1} elections, ${READS} reads`,
	run(disabledGuards) {
		const settings = createSettings(createGuards(disabledGuards));
		const initialWorld = createWorld(REPLICAS, settings);
		return explore<State, Event>({
			// The replicas are symmetric, so it doesn't matter which one wins first.
			initial: {
				world: holdElection(initialWorld, 0, 1),
				elections: ELECTIONS,
				reads: READS,
			},
			events: listEvents,
			step,
			findViolation: ({world}) => world.violation,
			createKey: ({world, elections, reads}) =>
				`${elections} ${reads} ${createWorldKey(world)}`,
		});
	},
};
