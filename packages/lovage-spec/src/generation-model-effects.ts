import {
	NO_GAP_STATISTICS,
	stepGeneration,
	type GenerationEffect,
	type GenerationEvent,
	type GenerationState,
	type GenerationTransition,
} from '@lovagevalve/generation';
import {
	findHeldAttempt,
	GENERATION_ID,
	updateBackend,
	ANSWER_TOKENS,
	type BackendName,
	type HeldAttempt,
	type ModelConnection,
	type ModelMessage,
	type AttemptReference,
	type World,
} from './generation-model-world.js';

/**
 * Steps the generation with an event and applies the resulting effects to the
 * world.
 */
export function applyEvent(
	world: World,
	event: GenerationEvent,
	message?: ModelMessage,
): World {
	return applyTransition(
		world,
		stepGeneration(world.generation, event),
		message,
	);
}

/** Applies the effects of a transition to the world. */
export function applyTransition(
	world: World,
	transition: GenerationTransition,
	message?: ModelMessage,
): World {
	const checked = transition.effects
		.filter((effect) => effect.kind === 'report-death')
		.reduce((current, effect) => checkReportedDeath(current, effect), world);
	const next = {...checked, generation: clearTimestamps(transition.state)};
	return transition.effects.reduce(
		(current, effect) => runEffect(current, effect, message),
		next,
	);
}

/**
 * Resets all times, so that states that differ only in time are equal. The
 * model is untimed: any silence may exceed its limit.
 */
function clearTimestamps(state: GenerationState): GenerationState {
	const {phase, loss} = state;
	return {
		...state,
		phase:
			phase.kind === 'streaming'
				? {...phase, silentSince: 0}
				: phase.kind === 'probing'
					? {...phase, sentAt: 0}
					: phase,
		pace: NO_GAP_STATISTICS,
		lastTokenAt: 0,
		loss: loss === undefined ? undefined : {...loss, lastTokenAt: 0},
	};
}

function runEffect(
	world: World,
	effect: GenerationEffect,
	message?: ModelMessage,
): World {
	switch (effect.kind) {
		case 'start': {
			return startAttempt(world, effect);
		}

		case 'resume': {
			return resumeAttempt(world, effect);
		}

		case 'close': {
			return closeConnection(world, effect.connection, message);
		}

		case 'probe': {
			const {attempt, probe} = effect;
			const backend = effect.backend as BackendName;
			return {...world, probe: {backend, attempt, probe}};
		}

		case 'cancel': {
			const {attempt} = effect;
			return cancelAttempt(world, effect.backend as BackendName, attempt);
		}

		case 'deliver': {
			return deliverTokens(world, effect.count, message!);
		}

		case 'retain': {
			const from = effect.offset - message!.offset;
			const tokens = message!.tokens.slice(from, from + effect.count);
			return {...world, held: [...world.held, ...tokens]};
		}

		case 'finish': {
			return world.transcript.length === ANSWER_TOKENS &&
				effect.total === ANSWER_TOKENS
				? world
				: recordViolation(world, 'a finished answer is whole');
		}

		case 'place':
		case 'report-death':
		case 'report-resume':
		case 'fail': {
			return world;
		}
	}
}

function recordViolation(world: World, violation: string): World {
	return {...world, violation: world.violation ?? violation};
}

function openConnection(
	world: World,
	connection: Omit<ModelConnection, 'status'>,
	offset: number,
): World {
	const {status} = world.backends[connection.backend];
	const holding = findHeldAttempt(world, connection);
	const openStatus = holding === undefined ? 'refused' : 'open';
	const statusByBackend = {
		up: openStatus,
		paused: 'silent',
		dead: 'broken',
	} as const;
	const added: ModelConnection = {
		...connection,
		status: statusByBackend[status],
	};
	const connections = [...world.connections, added];
	return added.status === 'open' && holding!.tokens.length > offset
		? {
				...world,
				connections,
				messages: [...world.messages, createMessage(added, holding!, offset)],
			}
		: {...world, connections};
}

/**
 * Creates the message that carries the tokens of an attempt from an offset on.
 */
export function createMessage(
	connection: ModelConnection,
	{attempt, tokens}: HeldAttempt,
	offset: number,
): ModelMessage {
	return {
		connection: connection.id,
		generation: GENERATION_ID,
		attempt,
		offset,
		tokens: tokens.slice(offset),
		isLast: tokens.length === ANSWER_TOKENS,
	};
}

/**
 * Cancels an attempt at once, or when its backend server resumes if it is
 * paused.
 */
function cancelAttempt(
	world: World,
	backend: BackendName,
	attempt: number,
): World {
	const {status, holdings} = world.backends[backend];
	if (status === 'paused') {
		return {...world, cancels: [...world.cancels, {backend, attempt}]};
	}

	return updateBackend(world, backend, {
		holdings: holdings.filter((holding) => holding.attempt !== attempt),
	});
}

function startAttempt(
	world: World,
	effect: Extract<GenerationEffect, {kind: 'start'}>,
): World {
	const {attempt, connection: id, prefixLength} = effect;
	const backend = effect.backend as BackendName;
	if (prefixLength < world.transcript.length) {
		return recordViolation(world, 'nothing restarts after a delivered token');
	}

	if (world.held.length < prefixLength) {
		return recordViolation(world, 'an attempt gets the whole delivered prefix');
	}

	if (world.started.includes(attempt)) {
		return recordViolation(world, 'an attempt number names one run');
	}

	const tokens = world.held.slice(0, prefixLength);
	const {status, holdings} = world.backends[backend];
	const started =
		status === 'up'
			? updateBackend(world, backend, {
					holdings: [...holdings, {attempt, tokens, cancelled: false}],
				})
			: world;
	const recorded = {...started, started: [...world.started, attempt]};
	return openConnection(recorded, {id, backend, attempt}, prefixLength);
}

function resumeAttempt(
	world: World,
	effect: Extract<GenerationEffect, {kind: 'resume'}>,
): World {
	const {attempt, connection: id, offset} = effect;
	const backend = effect.backend as BackendName;
	return openConnection(world, {id, backend, attempt}, offset);
}

function closeConnection(
	world: World,
	id: number,
	message?: ModelMessage,
): World {
	const connections = world.connections.filter((other) => other.id !== id);
	const closed = {...world, connections};
	const isOtherConnection = message !== undefined && message.connection !== id;
	return isOtherConnection && connections.length < world.connections.length
		? recordViolation(closed, 'a late message closes no other connection')
		: closed;
}

function deliverTokens(
	world: World,
	count: number,
	message: ModelMessage,
): World {
	const tokens = message.tokens.slice(-count);
	const transcript = [...world.transcript, ...tokens];
	const {attempt} = world.generation;
	const backend = world.connections.find(
		({id}) => id === message.connection,
	)?.backend;
	const next: World = {
		...world,
		transcript,
		held: [...world.held, ...tokens],
		cursor: backend === undefined ? world.cursor : {backend, attempt},
	};
	const end = message.offset + message.tokens.length;
	if (message.attempt !== attempt || tokens.includes(0)) {
		return recordViolation(next, 'tokens are of the present attempt');
	}

	return transcript.length === end
		? next
		: recordViolation(next, 'every token arrives once and in order');
}

function checkReportedDeath(
	world: World,
	effect: Extract<GenerationEffect, {kind: 'report-death'}>,
): World {
	const {attempt, cause} = effect;
	const reported: AttemptReference = {
		backend: effect.backend as BackendName,
		attempt,
	};
	const isAlive =
		world.backends[reported.backend].status === 'up' &&
		findHeldAttempt(world, reported) !== undefined;
	return isAlive && cause !== 'stalled'
		? recordViolation(
				world,
				'a backend server that holds the attempt is not left',
			)
		: world;
}
