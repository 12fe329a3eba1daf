import {LAST_STEP, readShare} from '@lovagevalve/rollout';
import type {ModelEvent} from './explore.js';
import {
	type Applied,
	applyEntries,
	createChange,
	createLog,
	createOrder,
	type IsGuardEnabled,
	type Log,
	type LogEvent,
	replaceAt,
	SERVICE,
} from './rollout-model-log.js';

/** Bounds of an exploration. */
export type VerdictBounds = Readonly<{
	instances: number;
	entries: number;
	/** Steps of the share that are left at the beginning. */
	steps: number;
	/** Length of the log, which begins with three entries. */
	maxLength: number;
	leaderChanges: number;
	silences: number;
}>;

/** What an entry instance knows of the decisions. */
export type EntryState = Readonly<{
	revision: number;
	/** Newest revision that it has heard of. */
	heard: number;
	share: number;
	/** Revision that the leader knows from its reports; undefined if it has none. */
	reported?: number;
	contact: 'reports' | 'silent' | 'counts as ended';
}>;

/** The log and the entries that hear of it. */
export type World = Readonly<{
	log: Log;
	maxLength: number;
	entries: readonly EntryState[];
	silencesLeft: number;
}>;

/** Events of the log, the leader and the entries. */
export type WorldEvent = ModelEvent &
	(
		| LogEvent
		| Readonly<{type: 'the leader judges'; finds: 'a fault' | 'no fault'}>
		| Readonly<{type: 'an entry reports'; entry: number; instance: number}>
		| Readonly<{
				type: 'an entry changes';
				entry: number;
				contact: EntryState['contact'];
		  }>
	);

/** Share of the new version that a state gives. */
export function findShare({rollouts}: Applied): number {
	return readShare(rollouts.get(SERVICE)!);
}

/** Creates a world in which all know the first step that is explored. */
export function createWorld(
	{instances, entries, steps, ...bounds}: VerdictBounds,
	isGuardEnabled: IsGuardEnabled,
): World {
	const order = {
		to: 'v2',
		durationMs: 10_000,
		ageMs: 0,
		stage: 'running',
		step: 0,
	} as const;
	const log = createLog(
		[createOrder('v2'), createChange(order, 'running', LAST_STEP - steps)],
		bounds.leaderChanges,
		Array.from({length: instances}, (_, i) => i),
	);
	const known = applyEntries(log.entries, log.committed, isGuardEnabled);
	const {revision} = known;
	return {
		log,
		entries: Array.from({length: entries}, () => ({
			revision,
			heard: revision,
			share: findShare(known),
			reported: revision,
			contact: 'reports',
		})),
		silencesLeft: bounds.silences,
		maxLength: bounds.maxLength,
	};
}

/** Tells an entry what an instance knows, and the leader what the entry knows. */
export function report(
	world: World,
	index: number,
	instance: number,
	isGuardEnabled: IsGuardEnabled,
): World {
	const {log} = world;
	const {entries, applied, leader} = log;
	const entry = world.entries[index]!;
	const isLeader = instance === leader;
	const count =
		isLeader && !isGuardEnabled('commitBeforeShare')
			? entries.length
			: applied[instance]!;
	const told = applyEntries(entries, count, isGuardEnabled);
	const isTaken =
		told.revision > entry.revision || !isGuardEnabled('newerRevisionOnly');
	return {
		...world,
		entries: replaceAt(world.entries, index, {
			contact: 'reports',
			reported: isLeader ? entry.revision : entry.reported,
			revision: isTaken ? told.revision : entry.revision,
			heard: Math.max(entry.heard, told.revision),
			share: isTaken ? findShare(told) : entry.share,
		}),
	};
}

/** Changes whether reports of an entry reach the leader. */
export function changeContact(
	world: World,
	index: number,
	contact: EntryState['contact'],
): World {
	const entry = world.entries[index]!;
	return {
		...world,
		silencesLeft: world.silencesLeft - (contact === 'silent' ? 1 : 0),
		entries: replaceAt(world.entries, index, {
			...entry,
			contact,
			reported: undefined,
		}),
	};
}

/** Lists the events of the entries that are possible. */
export function listEntryEvents({
	log,
	entries,
	silencesLeft,
}: World): WorldEvent[] {
	return entries.flatMap(({contact}, entry): WorldEvent[] => {
		const canReport = log.applied
			.map((_, instance) => instance)
			.filter(
				(instance) =>
					contact === 'reports' ||
					(contact === 'silent' && instance === log.leader),
			);
		const isCutOff = contact === 'reports' && silencesLeft > 0;
		return [
			...canReport.map(
				(instance) => ({type: 'an entry reports', entry, instance}) as const,
			),
			...(isCutOff
				? [{type: 'an entry changes', entry, contact: 'silent'} as const]
				: []),
			...(contact === 'silent'
				? [
						{
							type: 'an entry changes',
							entry,
							contact: 'counts as ended',
						} as const,
					]
				: []),
		];
	});
}
