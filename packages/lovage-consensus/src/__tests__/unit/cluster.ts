import {
	createRaft,
	defaultSettings,
	needsJoin,
	readLastIndex,
	readMembers,
	stepRaft,
	type RaftEffect,
	type RaftEvent,
	type RaftGuards,
	type RaftMessage,
	type RaftState,
	type RecoveredState,
	type Snapshot,
} from '../../index.js';
import {createInvariantChecks} from './checks.js';
import {createDisk, writeToDisk, type Write} from './disk.js';

type Node = {
	name: string;
	state: RaftState | undefined;
	disk: RecoveredState;
	unsynced: Array<{write: Write; dueAt: number}>;
	/** While true, writes are neither stored nor synced. */
	isDiskStalled: boolean;
	commands: string[];
	incarnation: number;
};
type InFlightMessage = {message: RaftMessage; dueAt: number};

const STEP_MS = 10;
const TICK_MS = 50;

/** Simulates replicas with their disks and network links in virtual time. */
export function createCluster(
	names: readonly string[],
	seed: number,
	guards: Partial<RaftGuards> = {},
) {
	let now = 1000;
	let random = seed + 1;
	let inFlightMessages: InFlightMessage[] = [];
	const cutLinks = new Set<string>();
	const checks = createInvariantChecks();
	const outcomes: RaftEffect[] = [];
	const settings = {
		...defaultSettings,
		maxAppendEntries: 4,
		maxInflightAppends: 3,
		snapshotPieceCharacters: 16,
		trailingEntries: 2,
		guards: {...defaultSettings.guards, ...guards},
	};

	const drawRandom = (): number => {
		random = (random * 48_271) % 2_147_483_647;
		return random / 2_147_483_647;
	};

	const nodes: Node[] = names.map((name) => ({
		name,
		state: undefined,
		disk: createDisk(`${name}-0`),
		unsynced: [],
		isDiskStalled: false,
		commands: [],
		incarnation: 0,
	}));

	const restore = (node: Node, snapshot: Snapshot | undefined): void => {
		node.commands = JSON.parse(snapshot?.data ?? '[]') as string[];
		checks.checkSnapshot(node.commands, snapshot?.index ?? 0);
	};

	const deliverLater = (message: RaftMessage): void => {
		if (drawRandom() > 0.05) {
			const dueAt = now + 1 + drawRandom() * 40;
			// A copy, so that replicas don't share objects.
			const copy = structuredClone(message);
			inFlightMessages.push({message: copy, dueAt});
		}

		if (drawRandom() < 0.05) {
			inFlightMessages.push({message, dueAt: now + drawRandom() * 400});
		}
	};

	const runEffect = (node: Node, effect: RaftEffect): void => {
		outcomes.push(effect);
		switch (effect.kind) {
			case 'send': {
				deliverLater(effect.message);
				break;
			}

			case 'persist':
			case 'persist-snapshot': {
				const after = node.unsynced.at(-1)?.dueAt ?? now;
				const dueAt = Math.max(after, now + drawRandom() * 150);
				node.unsynced.push({write: effect, dueAt});
				break;
			}

			case 'apply': {
				effect.entries.forEach(checks.checkApplied);
				node.commands.push(
					...effect.entries.flatMap((entry) =>
						entry.kind === 'command' ? [entry.data] : [],
					),
				);
				break;
			}

			case 'install-snapshot': {
				restore(node, effect.snapshot);
				break;
			}

			case 'became-leader': {
				checks.checkLeader(effect.term, node.disk.replica);
				break;
			}

			case 'read-confirmed': {
				checks.checkRead(effect.read, effect.index);
				break;
			}

			case 'proposal-accepted':
			case 'proposal-refused':
			case 'read-refused':
			case 'initialise-answered':
			case 'membership-answered':
			case 'stepped-down': {
				break;
			}
		}
	};

	const feedEvent = (node: Node, event: RaftEvent): void => {
		if (node.state !== undefined) {
			const {state, effects} = stepRaft(node.state, event);
			node.state = state;
			effects.forEach((effect) => {
				runEffect(node, effect);
			});
		}
	};

	const sync = (node: Node): void => {
		if (node.isDiskStalled) {
			return;
		}

		const done = node.unsynced.filter(({dueAt}) => dueAt <= now);
		node.unsynced = node.unsynced.filter(({dueAt}) => dueAt > now);
		done.forEach(({write}) => {
			node.disk = writeToDisk(node.disk, write);
			feedEvent(node, {kind: 'synced', now, sequence: write.sequence});
		});
	};

	const deliver = (): void => {
		const due = inFlightMessages.filter(({dueAt}) => dueAt <= now);
		inFlightMessages = inFlightMessages.filter(({dueAt}) => dueAt > now);
		due.forEach(({message}) => {
			const {from, to} = message;
			const node = nodes.find(({disk}) => disk.replica === to);
			const source = from.split('-')[0]!;
			if (node && !cutLinks.has(`${source}>${node.name}`)) {
				feedEvent(node, {kind: 'received', now, message});
			}
		});
	};

	const advanceOnce = (): void => {
		now += STEP_MS;
		nodes.forEach(sync);
		deliver();
		if (now % TICK_MS === 0) {
			nodes.forEach((node) => {
				feedEvent(node, {kind: 'ticked', now});
			});
			cluster.requestJoins();
		}
	};

	const describeMember = ({disk, name}: Node) => ({
		replica: disk.replica,
		name,
		address: `http://${name}`,
	});

	const cluster = {
		nodes,
		violations: checks.violations,
		outcomes,
		findHighestApplied: checks.findHighestApplied,
		cutLinks,
		findNode: (name: string) => nodes.find((node) => node.name === name)!,
		feedEvent,
		now: () => now,
		findLeader: () =>
			nodes
				.filter(({state}) => state?.role.kind === 'leader')
				.toSorted((a, b) => b.state!.hardState.term - a.state!.hardState.term)
				.at(0),
		initialise(): void {
			const members = nodes.map(describeMember);
			nodes.forEach((node) => {
				const event = {kind: 'initialised', group: 'g', members} as const;
				feedEvent(node, {...event, now});
			});
		},
		start(node: Node): void {
			restore(node, node.disk.snapshot);
			node.state = createRaft({
				recovered: node.disk,
				settings,
				seed: Math.floor(drawRandom() * 1e9),
				now,
			});
		},
		/** Ends the process. A random prefix of the unsynced writes reaches the disk. */
		crash(node: Node): void {
			const survivors = Math.floor(drawRandom() * (node.unsynced.length + 1));
			node.disk = node.unsynced
				.slice(0, survivors)
				.reduce((disk, {write}) => writeToDisk(disk, write), node.disk);
			node.unsynced = [];
			node.state = undefined;
		},
		/** Replaces the disk by an empty one, with a new replica id unless it is kept. */
		loseDisk(node: Node, keepsIdentity = false): void {
			node.state = undefined;
			node.unsynced = [];
			node.incarnation += keepsIdentity ? 0 : 1;
			node.disk = createDisk(`${node.name}-${node.incarnation}`);
		},
		/** Whether every node is a voter under its current replica id, all committed. */
		hasAllVoters(): boolean {
			const identities = new Set(nodes.map(({disk}) => disk.replica));
			const leader = cluster.findLeader()?.state;
			const members = leader === undefined ? [] : readMembers(leader);
			return (
				members.length === nodes.length &&
				members.every(
					(member) => member.voter && identities.has(member.replica),
				) &&
				leader!.commitIndex === readLastIndex(leader!.log)
			);
		},
		requestRead(node: Node, read: string): void {
			checks.beginRead(read);
			feedEvent(node, {kind: 'read-requested', now, read});
		},
		propose(node: Node, proposal: string, commands: readonly string[]): void {
			feedEvent(node, {kind: 'proposed', now, proposal, commands});
		},
		snapshot(node: Node): void {
			if (node.state !== undefined) {
				const index = node.state.appliedIndex;
				const data = JSON.stringify(node.commands);
				feedEvent(node, {kind: 'snapshot-taken', now, index, data});
			}
		},
		/** Advances the virtual time; replicas that need to join ask the leader. */
		advance(durationMs: number): void {
			Array.from({length: Math.ceil(durationMs / STEP_MS)}).forEach(
				advanceOnce,
			);
		},
		requestJoins(): void {
			const leader = cluster.findLeader();
			nodes
				.filter(({state}) => state !== undefined && needsJoin(state, now))
				.forEach((node) => {
					const member = describeMember(node);
					const isCut = cutLinks.has(`${node.name}>${leader?.name}`);
					if (leader !== undefined && !isCut) {
						feedEvent(leader, {kind: 'join-requested', now, member});
					}
				});
		},
		advanceUntil(condition: () => boolean, limitMs: number): boolean {
			const ticks = Array.from({length: Math.ceil(limitMs / TICK_MS)});
			return ticks.some(() => {
				cluster.advance(TICK_MS);
				return condition();
			});
		},
	};
	nodes.forEach((node) => {
		cluster.start(node);
	});
	return cluster;
}

/** A simulated cluster. */
export type Cluster = ReturnType<typeof createCluster>;
