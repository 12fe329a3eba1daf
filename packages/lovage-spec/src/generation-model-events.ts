import {
	BACKEND_NAMES,
	MAX_FAULTS,
	findHeldAttempt,
	ANSWER_TOKENS,
	type BackendName,
	type World,
} from './generation-model-world.js';

/** An event in the environment of a generation. */
export type WorldEvent =
	| {type: 'placed'; backend: BackendName}
	| {type: 'generated'; backend: BackendName; attempt: number}
	| {type: 'arrived'; index: number}
	| {type: 'refused'; connection: number}
	| {type: 'broke'; connection: number}
	| {type: 'silence-noticed'}
	| {type: 'probe-answered'}
	| {type: 'probe-failed'}
	| {type: 'cancelled'; index: number}
	/** Faults, and the recovery of an engine. */
	| {type: 'engine-died'; backend: BackendName}
	| {type: 'engine-paused'; backend: BackendName}
	| {type: 'engine-returned'; backend: BackendName}
	| {type: 'connection-silenced'; connection: number}
	| {type: 'message-lost'; index: number}
	| {type: 'message-repeated'; index: number}
	| {type: 'message-crossed'; index: number}
	| {type: 'foreign-message'}
	| {type: 'false-alarm'}
	| {type: 'entry-died'};

const MAX_MESSAGES = 2;

/** Lists the events enabled in a world. */
export function listEvents(world: World): readonly WorldEvent[] {
	if (world.violation !== undefined) {
		return [];
	}

	return world.generation.phase.kind === 'ended'
		? []
		: [
				...listPlacements(world),
				...listProgress(world),
				...listConnectionEvents(world),
				...listCancels(world),
				...listRecoveries(world),
				...(world.faults < MAX_FAULTS ? listFaults(world) : []),
			];
}

function listPlacements(world: World): readonly WorldEvent[] {
	if (world.generation.phase.kind !== 'placing') {
		return [];
	}

	const {attempt, excluded} = world.generation;
	if (attempt === 0) {
		return [{type: 'placed', backend: 'a'}];
	}

	const others = BACKEND_NAMES.filter((name) => !excluded.includes(name));
	return (others.length > 0 ? others : BACKEND_NAMES).map((backend) => ({
		type: 'placed',
		backend,
	}));
}

function listProgress(world: World): readonly WorldEvent[] {
	const canSend = world.messages.length < MAX_MESSAGES;
	const generated = BACKEND_NAMES.flatMap((backend) =>
		canSend && world.backends[backend].status === 'up'
			? world.backends[backend].holdings
					.filter(
						({cancelled, tokens}) =>
							!cancelled && tokens.length < ANSWER_TOKENS,
					)
					.map(({attempt}): WorldEvent => ({
						type: 'generated',
						backend,
						attempt,
					}))
			: [],
	);
	const arrived = world.messages
		.map((message, index) => ({message, index}))
		.filter(
			({message, index}) =>
				world.messages.findIndex(
					({connection}) => connection === message.connection,
				) === index,
		)
		.map(({index}): WorldEvent => ({type: 'arrived', index}));
	return [...generated, ...arrived];
}

function listConnectionEvents(world: World): readonly WorldEvent[] {
	const {phase} = world.generation;
	const ended = world.connections.flatMap(
		({id, status, backend}): WorldEvent[] => [
			...(status === 'refused'
				? [{type: 'refused' as const, connection: id}]
				: []),
			...(status === 'broken' || world.backends[backend].status === 'dead'
				? [{type: 'broke' as const, connection: id}]
				: []),
		],
	);
	const silenceEvents: readonly WorldEvent[] = isSilent(world)
		? [{type: 'silence-noticed'}]
		: [];
	if (phase.kind !== 'probing' || world.probe === undefined) {
		return [...ended, ...silenceEvents];
	}

	const isUp = world.backends[world.probe.backend].status === 'up';
	return [...ended, {type: isUp ? 'probe-answered' : 'probe-failed'}];
}

/** Whether the current connection will deliver nothing more. */
function isSilent(world: World): boolean {
	const {phase, attempt} = world.generation;
	if (phase.kind !== 'streaming') {
		return false;
	}

	const {backend} = phase;
	const current = world.connections.find(({id}) => id === phase.connection);
	const holding = findHeldAttempt(world, {
		backend: backend as BackendName,
		attempt,
	});
	const isGenerating =
		current?.status === 'open' &&
		world.backends[current.backend].status === 'up' &&
		holding !== undefined &&
		holding.tokens.length < ANSWER_TOKENS;
	const hasPendingMessage = world.messages.some(
		({connection}) => connection === phase.connection,
	);
	return !isGenerating && !hasPendingMessage;
}

function listCancels(world: World): readonly WorldEvent[] {
	return world.cancels
		.map(({backend}, index) => ({backend, index}))
		.filter(({backend}) => world.backends[backend].status !== 'paused')
		.map(({index}) => ({type: 'cancelled', index}));
}

function listRecoveries(world: World): readonly WorldEvent[] {
	return BACKEND_NAMES.filter(
		(name) => world.backends[name].status !== 'up',
	).map((backend) => ({type: 'engine-returned', backend}));
}

function listFaults(world: World): readonly WorldEvent[] {
	const engines = BACKEND_NAMES.filter(
		(name) => world.backends[name].status === 'up',
	).flatMap((backend): WorldEvent[] => [
		{type: 'engine-died', backend},
		{type: 'engine-paused', backend},
	]);
	const silenced = world.connections
		.filter(({status}) => status === 'open')
		.map(({id}): WorldEvent => ({type: 'connection-silenced', connection: id}));
	const isLastFault = world.faults === MAX_FAULTS - 1;
	const messages = (isLastFault ? [] : world.messages).flatMap(
		(_, index): WorldEvent[] => [
			{type: 'message-lost', index},
			{type: 'message-crossed', index},
			...(world.messages.length < MAX_MESSAGES
				? [{type: 'message-repeated' as const, index}]
				: []),
		],
	);
	const foreign: readonly WorldEvent[] =
		!isLastFault && world.generation.phase.kind === 'streaming'
			? [{type: 'foreign-message'}, {type: 'false-alarm'}]
			: [];
	const entry: readonly WorldEvent[] =
		world.cursor === undefined ? [] : [{type: 'entry-died'}];
	return [...engines, ...silenced, ...messages, ...foreign, ...entry];
}
