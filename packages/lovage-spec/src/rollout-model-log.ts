import {
	applyGuardedCommand,
	EMPTY_ROLLOUTS,
	type IsRolloutGuarded,
	type RolloutCommand,
	type RolloutOrder,
	type RolloutStage,
	type RolloutState,
} from '@lovagevalve/rollout';

/** Whether a guard of the model is enabled. */
export type IsGuardEnabled = IsRolloutGuarded & ((guard: string) => boolean);

/** Control instances; the first one leads at the beginning. */
export const INSTANCES = [0, 1] as const;
export const SERVICE = 's';
const DURATION_MS = 10_000;

/** A log entry; its id tells it from another one at the same index. */
export type Entry = Readonly<{id: string; command: RolloutCommand}>;

/**
 * The replicated log as its own models prove it: what is committed stays, and what is
 * not may be lost with its leader. Each instance has applied a part of what is committed.
 */
export type Log = Readonly<{
	entries: readonly Entry[];
	committed: number;
	leader: number;
	applied: readonly number[];
	/** Changes of the leader that are still to be explored. */
	changesLeft: number;
}>;

/** Events of the log. */
export type LogEvent =
	| Readonly<{type: 'an entry is committed'}>
	| Readonly<{type: 'an instance applies what is committed'; instance: number}>
	/** `kept` entries are in the log of the next leader. */
	| Readonly<{type: 'the leader changes'; kept: number}>;

/** What an instance knows that has applied a part of the log. */
export type Applied = Readonly<{
	rollouts: RolloutState;
	/** Number of entries up to the last one that changed the roll-outs. */
	revision: number;
	order: RolloutOrder | undefined;
}>;

/** Replaces the item at an index. */
export function replaceAt<Item>(
	items: readonly Item[],
	index: number,
	item: Item,
): readonly Item[] {
	return items.map((known, i) => (i === index ? item : known));
}

/** Creates an order of the service. */
export function createOrder(to: string): RolloutCommand {
	return {kind: 'rollout-order', service: SERVICE, to, durationMs: DURATION_MS};
}

/** Creates a change of the running order. */
export function createChange(
	{to, ageMs}: RolloutOrder,
	stage: RolloutStage,
	step: number,
): RolloutCommand {
	return {kind: 'rollout-change', service: SERVICE, to, ageMs, stage, step};
}

/** Creates a log whose commands all instances have applied. */
export function createLog(
	commands: readonly RolloutCommand[],
	changesLeft: number,
	instances: readonly number[] = INSTANCES,
): Log {
	const first = {
		kind: 'rollout-first',
		service: SERVICE,
		version: 'v1',
	} as const;
	const entries = [first, ...commands].map((command) => ({
		id: 'initial',
		command,
	}));
	const committed = entries.length;
	return {
		entries,
		committed,
		leader: 0,
		applied: instances.map(() => committed),
		changesLeft,
	};
}

const NOTHING_APPLIED: Applied = {
	rollouts: EMPTY_ROLLOUTS,
	revision: 0,
	order: undefined,
};

/** States by log, which many worlds of one exploration share. */
const statesByLog = new WeakMap<readonly Entry[], readonly Applied[]>();

/** Applies all entries of a log; returns the state after each number of them. */
export function applyEach(
	entries: readonly Entry[],
	isGuardEnabled: IsGuardEnabled,
): readonly Applied[] {
	const known = statesByLog.get(entries);
	if (known !== undefined) {
		return known;
	}

	const states = [NOTHING_APPLIED];
	entries.forEach(({command}, i) => {
		const {rollouts, revision} = states[i]!;
		const next = applyGuardedCommand(rollouts, command, isGuardEnabled);
		states.push({
			rollouts: next,
			revision: next === rollouts ? revision : i + 1,
			order: next.get(SERVICE)?.order,
		});
	});
	statesByLog.set(entries, states);
	return states;
}

/** Applies the first entries of a log. */
export function applyEntries(
	entries: readonly Entry[],
	count: number,
	isGuardEnabled: IsGuardEnabled,
): Applied {
	return applyEach(entries, isGuardEnabled)[count]!;
}

/** Describes a log briefly for the key of a state. */
export function describeLog({entries, ...rest}: Log): unknown {
	const described = entries.map(({id, command}) =>
		command.kind === 'rollout-change'
			? `${id} ${command.to} ${command.stage} ${command.step}`
			: id,
	);
	return [described, rest];
}

/** Appends a command to the log of the leader. */
export function append(log: Log, id: string, command: RolloutCommand): Log {
	return {...log, entries: [...log.entries, {id, command}]};
}

/** Lists the events of the log that are possible. */
export function listLogEvents(log: Log): readonly LogEvent[] {
	const {entries, committed, applied, changesLeft} = log;
	const uncommitted = entries.length - committed;
	return [
		...(uncommitted > 0 ? [{type: 'an entry is committed'} as const] : []),
		...INSTANCES.filter(
			(instance) => (applied[instance] ?? committed) < committed,
		).map(
			(instance) =>
				({type: 'an instance applies what is committed', instance}) as const,
		),
		...(changesLeft > 0
			? Array.from(
					{length: uncommitted + 1},
					(_, i) =>
						({type: 'the leader changes', kept: committed + i}) as const,
				)
			: []),
	];
}

/** Carries out an event of the log. */
export function stepLog(log: Log, event: LogEvent): Log {
	switch (event.type) {
		case 'an entry is committed': {
			return {...log, committed: log.committed + 1};
		}

		case 'an instance applies what is committed': {
			const {instance} = event;
			const applied = replaceAt(log.applied, instance, log.committed);
			return {...log, applied};
		}

		case 'the leader changes': {
			return {
				...log,
				entries:
					event.kept === log.entries.length
						? log.entries
						: log.entries.slice(0, event.kept),
				leader: 1 - log.leader,
				changesLeft: log.changesLeft - 1,
			};
		}
	}
}

function findWrongChange(
	before: RolloutOrder | undefined,
	after: RolloutOrder | undefined,
	command: RolloutCommand,
): string | undefined {
	if (before === undefined || after === before || after === undefined) {
		return undefined;
	}

	if (before.stage !== 'running' && before.to === after.to) {
		return 'succeeded and reverted are final';
	}

	if (command.kind === 'rollout-order') {
		return before.stage === 'running'
			? 'an acknowledged order is not lost'
			: undefined;
	}

	if (command.kind === 'rollout-change' && command.to !== before.to) {
		return 'a verdict ends only the order that it judged';
	}

	return after.step < before.step && after.stage !== 'reverted'
		? 'the share of a running order does not fall'
		: undefined;
}

/** Finds an entry whose effect on the order breaks an invariant. */
export function findLogViolation(
	{entries, committed}: Log,
	isGuardEnabled: IsGuardEnabled,
): string | undefined {
	const states = applyEach(entries, isGuardEnabled);
	return entries
		.slice(0, committed)
		.map(({command}, i) =>
			findWrongChange(states[i]!.order, states[i + 1]!.order, command),
		)
		.find((violation) => violation !== undefined);
}
