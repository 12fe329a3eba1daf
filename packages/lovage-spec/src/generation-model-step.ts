import {
	applyEvent,
	applyTransition,
	createMessage,
} from './generation-model-effects.js';
import type {WorldEvent} from './generation-model-events.js';
import {
	adoptGeneration,
	findHeldAttempt,
	FOREIGN_GENERATION_ID,
	updateBackend,
	type ModelConnection,
	type ModelMessage,
	type AttemptReference,
	type World,
} from './generation-model-world.js';

/** Later than every timeout of the detection policy. */
const AFTER_ALL_TIMEOUTS_MS = 1_000_000;

/** Applies an event to the world. */
export function stepWorld(world: World, event: WorldEvent): World {
	switch (event.type) {
		case 'placed': {
			const {backend} = event;
			return applyEvent(world, {kind: 'placed', backend, now: 0});
		}

		case 'generated': {
			return generate(world, event);
		}

		case 'arrived': {
			return deliverMessage(world, event.index);
		}

		case 'refused': {
			const refused = removeConnection(world, event.connection);
			return applyEvent(refused, {
				kind: 'backend-refused',
				connection: event.connection,
				transient: true,
				now: 0,
			});
		}

		case 'broke': {
			const {connection} = event;
			const broken = removeConnection(world, connection);
			return applyEvent(broken, {kind: 'connection-lost', connection, now: 0});
		}

		case 'silence-noticed': {
			return applyEvent(world, {kind: 'ticked', now: AFTER_ALL_TIMEOUTS_MS});
		}

		case 'probe-answered':
		case 'probe-failed': {
			return answerProbe(world, event.type);
		}

		case 'cancelled': {
			return completeCancel(world, event.index);
		}

		case 'engine-died':
		case 'engine-paused':
		case 'engine-returned':
		case 'connection-silenced':
		case 'message-lost':
		case 'message-repeated':
		case 'message-crossed':
		case 'foreign-message':
		case 'false-alarm':
		case 'entry-died': {
			return stepFault(world, event);
		}
	}
}

type Fault = Extract<
	WorldEvent,
	{
		type:
			| 'engine-died'
			| 'engine-paused'
			| 'engine-returned'
			| 'connection-silenced'
			| 'message-lost'
			| 'message-repeated'
			| 'message-crossed'
			| 'foreign-message'
			| 'false-alarm'
			| 'entry-died';
	}
>;

function stepFault(world: World, event: Fault): World {
	const afterFault = {...world, faults: world.faults + 1};
	switch (event.type) {
		case 'engine-died': {
			return updateBackend(afterFault, event.backend, {
				status: 'dead',
				holdings: [],
			});
		}

		case 'engine-paused': {
			return updateBackend(afterFault, event.backend, {status: 'paused'});
		}

		case 'engine-returned': {
			return updateBackend(world, event.backend, {status: 'up'});
		}

		case 'connection-silenced': {
			return {
				...updateConnection(afterFault, event.connection, {status: 'silent'}),
				messages: afterFault.messages.filter(
					({connection}) => connection !== event.connection,
				),
			};
		}

		case 'message-lost': {
			return dropTokens(afterFault, event.index);
		}

		case 'message-repeated': {
			const message = world.messages[event.index]!;
			return {...afterFault, messages: [...world.messages, message]};
		}

		case 'message-crossed': {
			return misrouteMessage(afterFault, event.index);
		}

		case 'foreign-message': {
			return receiveForeignMessage(afterFault);
		}

		case 'false-alarm': {
			return applyEvent(afterFault, {
				kind: 'ticked',
				now: AFTER_ALL_TIMEOUTS_MS,
			});
		}

		case 'entry-died': {
			return failOver(afterFault);
		}
	}
}

function generate(world: World, {backend, attempt}: AttemptReference): World {
	const holdings = world.backends[backend].holdings.map((holding) =>
		holding.attempt === attempt
			? {...holding, tokens: [...holding.tokens, attempt]}
			: holding,
	);
	const generated = updateBackend(world, backend, {holdings});
	const holding = findHeldAttempt(generated, {backend, attempt})!;
	const messages = world.connections
		.filter(
			(connection) =>
				connection.status === 'open' &&
				connection.backend === backend &&
				connection.attempt === attempt,
		)
		.map((connection) =>
			createMessage(connection, holding, holding.tokens.length - 1),
		);
	return {...generated, messages: [...world.messages, ...messages]};
}

function updateConnection(
	world: World,
	id: number,
	change: Partial<ModelConnection>,
): World {
	const connections = world.connections.map((connection) =>
		connection.id === id ? {...connection, ...change} : connection,
	);
	return {...world, connections};
}

function removeConnection(world: World, id: number): World {
	const connections = world.connections.filter((other) => other.id !== id);
	return {...world, connections};
}

function deliverMessage(world: World, index: number): World {
	const message = world.messages[index]!;
	const rest = {...world, messages: world.messages.toSpliced(index, 1)};
	return receive(rest, message);
}

function receive(world: World, message: ModelMessage): World {
	const {connection, generation, attempt, offset, tokens} = message;
	const common = {connection, generation, attempt, now: 0};
	const count = tokens.length;
	const total = offset + count;
	const afterChunk =
		count === 0
			? world
			: applyEvent(
					world,
					{kind: 'chunk-received', ...common, offset, count},
					message,
				);
	return message.isLast
		? applyEvent(afterChunk, {kind: 'end-received', ...common, total}, message)
		: afterChunk;
}

/**
 * Drops the tokens of a message. If it is the last one, its end still arrives.
 */
function dropTokens(world: World, index: number): World {
	const message = world.messages[index]!;
	const offset = message.offset + message.tokens.length;
	const end = {...message, offset, tokens: []};
	const rest = message.isLast ? [end] : [];
	return {...world, messages: world.messages.toSpliced(index, 1, ...rest)};
}

function answerProbe(
	world: World,
	kind: 'probe-answered' | 'probe-failed',
): World {
	const {probe, ...probedAttempt} = world.probe!;
	const holding = findHeldAttempt(world, probedAttempt);
	const answered = {...world, probe: undefined};
	return applyEvent(
		answered,
		kind === 'probe-failed'
			? {kind, probe, now: 0}
			: {
					kind,
					probe,
					held: holding !== undefined,
					length: holding?.tokens.length ?? 0,
					now: 0,
				},
	);
}

function completeCancel(world: World, index: number): World {
	const {backend, attempt} = world.cancels[index]!;
	const holdings = world.backends[backend].holdings.filter(
		(holding) => holding.attempt !== attempt,
	);
	const cancels = world.cancels.toSpliced(index, 1);
	return updateBackend({...world, cancels}, backend, {holdings});
}

function misrouteMessage(world: World, index: number): World {
	const {phase} = world.generation;
	if (phase.kind !== 'streaming') {
		return world;
	}

	const message = {...world.messages[index]!, connection: phase.connection};
	return {...world, messages: world.messages.toSpliced(index, 1, message)};
}

function receiveForeignMessage(world: World): World {
	const {phase, attempt, held} = world.generation;
	if (phase.kind !== 'streaming') {
		return world;
	}

	const message: ModelMessage = {
		connection: phase.connection,
		generation: FOREIGN_GENERATION_ID,
		attempt,
		offset: held,
		tokens: [0],
		isLast: false,
	};
	return receive(world, message);
}

function failOver(world: World): World {
	const cursor = world.cursor!;
	const withoutEntry: World = {
		...world,
		connections: [],
		messages: [],
		probe: undefined,
		held: [],
		cancels: [],
		entryDeaths: world.entryDeaths + 1,
		orphans: [
			...world.orphans,
			...world.cancels.map(({attempt}) => attempt),
			...(world.generation.attempt === cursor.attempt
				? []
				: [world.generation.attempt]),
		],
	};
	return applyTransition(withoutEntry, adoptGeneration(withoutEntry, cursor));
}
