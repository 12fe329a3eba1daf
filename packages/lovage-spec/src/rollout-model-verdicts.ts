import {
	decideRollout,
	LAST_STEP,
	type RolloutStage,
	type SecondCounts,
	type Verdict,
} from '@lovagevalve/rollout';
import {explore} from './explore.js';
import type {ModelResult} from './model.js';
import {
	changeContact,
	createWorld,
	findShare,
	listEntryEvents,
	report,
	type VerdictBounds,
	type World,
	type WorldEvent,
} from './rollout-model-entries.js';
import {
	append,
	type Applied,
	applyEach,
	applyEntries,
	createChange,
	describeLog,
	findLogViolation,
	type IsGuardEnabled,
	listLogEvents,
	stepLog,
} from './rollout-model-log.js';

/** Late enough for each step, while nothing else than the model's choice holds it up. */
const AGES = {ageMs: 9000, stepAgeMs: 3000};
/** A second in which only the new version failed. */
const FAULT: SecondCounts = new Map([
	['r', {fresh: {failed: 50, byTime: []}, old: {failed: 0, byTime: [500]}}],
]);
const STAGES: Readonly<Record<Verdict['kind'], RolloutStage>> = {
	hold: 'running',
	grow: 'running',
	revert: 'reverted',
	succeed: 'succeeded',
};

function readLeader({log}: World, isGuardEnabled: IsGuardEnabled): Applied {
	return applyEntries(log.entries, log.applied[log.leader]!, isGuardEnabled);
}

function isStable(world: World, isGuardEnabled: IsGuardEnabled): boolean {
	const {revision} = readLeader(world, isGuardEnabled);
	return world.entries.every(({contact, reported}) => {
		if (contact !== 'reports') {
			return contact === 'counts as ended' || !isGuardEnabled('waitForSilent');
		}

		// A leader of 2 s has heard each entry that reports.
		return reported === undefined
			? !isGuardEnabled('leadLongEnough')
			: reported >= revision || !isGuardEnabled('fullShareKnown');
	});
}

function judge(
	world: World,
	hasFault: boolean,
	isGuardEnabled: IsGuardEnabled,
): World {
	const {log} = world;
	const {order} = readLeader(world, isGuardEnabled);
	if (order?.stage !== 'running') {
		return world;
	}

	const {kind} = decideRollout({
		...AGES,
		order: {
			...order,
			step: isGuardEnabled('fullShareFirst') ? order.step : LAST_STEP,
		},
		seconds: hasFault ? [FAULT] : [],
		total: 0,
		exposed: 0,
		perSecond: 0,
		oldRunning: 0,
		freshServers: 1,
		isStable: isStable(world, isGuardEnabled),
		bounds: {exposeShare: 0.1, exposeSlack: 50},
	});
	const step = order.step + (kind === 'grow' ? 1 : 0);
	return kind === 'hold'
		? world
		: {
				...world,
				log: append(log, 'verdict', createChange(order, STAGES[kind], step)),
			};
}

function createStep(isGuardEnabled: IsGuardEnabled) {
	return (world: World, event: WorldEvent): World => {
		switch (event.type) {
			case 'the leader judges': {
				return judge(world, event.finds === 'a fault', isGuardEnabled);
			}

			case 'an entry reports': {
				return report(world, event.entry, event.instance, isGuardEnabled);
			}

			case 'an entry changes': {
				return changeContact(world, event.entry, event.contact);
			}

			case 'the leader changes': {
				// The next leader may have been restarted and has heard no entry yet.
				return {
					...world,
					log: stepLog(world.log, event),
					entries: world.entries.map((entry) => ({
						...entry,
						reported: undefined,
					})),
				};
			}

			case 'an entry is committed':
			case 'an instance applies what is committed': {
				return {...world, log: stepLog(world.log, event)};
			}
		}
	};
}

function listEvents(world: World): WorldEvent[] {
	const {log} = world;
	return [
		...listLogEvents(log),
		...listEntryEvents(world),
		...(log.entries.length < world.maxLength
			? (['a fault', 'no fault'] as const).map((finds): WorldEvent => ({
					type: 'the leader judges',
					finds,
				}))
			: []),
	];
}

function findViolation(
	{log, entries}: World,
	isGuardEnabled: IsGuardEnabled,
): string | undefined {
	const states = applyEach(log.entries, isGuardEnabled);
	const exceedsLog = entries.some(
		({heard, share}) =>
			!states
				.slice(heard, log.committed + 1)
				.some((state) => share <= findShare(state)),
	);
	if (exceedsLog) {
		return 'a share never exceeds what the log contains';
	}

	const hasSucceeded = states[log.committed]!.order?.stage === 'succeeded';
	const isFullEverywhere = entries.every(
		({share, contact}) => share === 1 || contact === 'counts as ended',
	);
	return hasSucceeded && !isFullEverywhere
		? 'succeeded requires that all entries know the full share'
		: findLogViolation(log, isGuardEnabled);
}

/**
 * Explores the last steps of a share and its verdict, while the leader changes or is
 * restarted, or entries are silent.
 */
export function exploreVerdicts(
	bounds: VerdictBounds,
	isGuardEnabled: IsGuardEnabled,
): ModelResult {
	return explore<World, WorldEvent>({
		initial: createWorld(bounds, isGuardEnabled),
		events: listEvents,
		step: createStep(isGuardEnabled),
		findViolation: (world) => findViolation(world, isGuardEnabled),
		createKey: ({log: described, ...rest}) =>
			JSON.stringify([describeLog(described), rest]),
	});
}
