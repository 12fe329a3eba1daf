import {ALL_GUARDS} from '@lovagevalve/generation';
import {explore} from './explore.js';
import {listEvents} from './generation-model-events.js';
import {stepWorld} from './generation-model-step.js';
import {
	BACKEND_NAMES,
	createGuards,
	createWorld,
	MAX_FAULTS,
	ANSWER_TOKENS,
	type World,
} from './generation-model-world.js';
import type {Model} from './model.js';

/**
 * Whether every superseded attempt is cancelled or has a pending cancellation.
 * Attempts orphaned by the death of an entry are exempt.
 */
function areOldAttemptsCancelled(world: World): boolean {
	return BACKEND_NAMES.every((backend) =>
		world.backends[backend].holdings.every(
			({attempt, cancelled}) =>
				cancelled ||
				attempt >= world.generation.attempt ||
				world.orphans.includes(attempt) ||
				world.cancels.some((other) => other.attempt === attempt),
		),
	);
}

function findViolation(world: World): string | undefined {
	return (
		world.violation ??
		(areOldAttemptsCancelled(world)
			? undefined
			: 'an attempt left behind is cancelled')
	);
}

/**
 * Creates the state key. Connection and probe numbers matter only for equality,
 * so connections are renumbered and probe numbers are dropped.
 */
export function createKey(world: World): string {
	const {id, policy, guards, pace, connections, probes, phase, ...dynamic} =
		world.generation;
	const current =
		phase.kind === 'streaming' || phase.kind === 'probing'
			? phase.connection
			: undefined;
	const ids = [
		current,
		...world.connections.map((connection) => connection.id),
		...world.messages.map(({connection}) => connection),
	];
	const canonicalIds = new Map(
		[...new Set(ids)].map((name, index) => [name, index]),
	);
	return JSON.stringify({
		...world,
		generation: dynamic,
		phase: {...phase, probe: 0, connection: canonicalIds.get(current)},
		probe: world.probe && {...world.probe, probe: 0},
		connections: world.connections.map((connection) => ({
			...connection,
			id: canonicalIds.get(connection.id),
		})),
		messages: world.messages.map((message) => ({
			...message,
			connection: canonicalIds.get(message.connection),
		})),
	});
}

/**
 * A generation under engine deaths, pauses, silent connections, misrouted
 * messages and entry failover.
 */
export const generationModel: Model = {
	name: 'generation',
	guards: Object.keys(ALL_GUARDS),
	bounds: `${BACKEND_NAMES.length} backend servers, ${ANSWER_TOKENS} tokens, ${MAX_FAULTS} faults of which the last hits no message, 3 attempts for each entry, 2 messages in flight`,
	run(disabledGuards) {
		return explore({
			initial: createWorld(createGuards(disabledGuards)),
			events: listEvents,
			step: stepWorld,
			findViolation,
			createKey,
		});
	},
};
