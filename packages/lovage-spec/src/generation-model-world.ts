import {
	ALL_GUARDS,
	createGeneration,
	type DetectionPolicy,
	type GenerationGuards,
	type GenerationState,
} from '@lovagevalve/generation';

/** Number of tokens in a complete answer. */
export const ANSWER_TOKENS = 2;
/** Maximum number of faults, of all kinds together, on one path. */
export const MAX_FAULTS = 3;
/**
 * Gap between the attempt numbers of successive entries; more than one entry
 * starts.
 */
const ATTEMPT_STRIDE = 10;
export const GENERATION_ID = 'g';
export const FOREIGN_GENERATION_ID = 'x';
export const BACKEND_NAMES = ['a', 'b'] as const;

/** Name of a backend server in the model. */
export type BackendName = (typeof BACKEND_NAMES)[number];

/**
 * The number of the attempt that generated the token; 0 for a foreign token.
 */
export type Token = number;

/** An attempt that a backend server runs or has finished. */
export type HeldAttempt = Readonly<{
	attempt: number;
	/** The answer generated so far, including the prefix. */
	tokens: readonly Token[];
	cancelled: boolean;
}>;

/** A backend server in the model. */
export type ModelBackend = Readonly<{
	status: 'up' | 'paused' | 'dead';
	holdings: readonly HeldAttempt[];
}>;

/** A stream from a backend server to the entry. */
export type ModelConnection = Readonly<{
	id: number;
	backend: BackendName;
	attempt: number;
	status: 'open' | 'silent' | 'refused' | 'broken';
}>;

/** A message in flight to the entry. */
export type ModelMessage = Readonly<{
	connection: number;
	generation: string;
	attempt: number;
	offset: number;
	tokens: readonly Token[];
	/** Whether the answer ends after these tokens. */
	isLast: boolean;
}>;

/** Identifies an attempt at a backend server. */
export type AttemptReference = Readonly<{
	backend: BackendName;
	attempt: number;
}>;

/** A generation and its environment. */
export type World = Readonly<{
	generation: GenerationState;
	backends: Readonly<Record<BackendName, ModelBackend>>;
	connections: readonly ModelConnection[];
	messages: readonly ModelMessage[];
	probe?: AttemptReference & Readonly<{probe: number}>;
	/** Cancellations that have not reached their backend server. */
	cancels: readonly AttemptReference[];
	/** Answer tokens in the memory of the entry. */
	held: readonly Token[];
	/** Tokens delivered to the caller. */
	transcript: readonly Token[];
	/**
	 * Attempt that produced the caller's last token; a new entry resumes from it.
	 */
	cursor?: AttemptReference;
	/** Attempts that nobody cancels any more because their entry died. */
	orphans: readonly number[];
	/** Numbers of all attempts started so far. */
	started: readonly number[];
	/** Number of entries that died. */
	entryDeaths: number;
	faults: number;
	violation?: string;
}>;

const DETECTION_POLICY: DetectionPolicy = {
	gapFactor: 1,
	deviationFactor: 1,
	minimumSilenceMs: 1,
	maximumSilenceMs: 1,
	acceptMs: 1,
	firstTokenMs: 1,
	probeTimeoutMs: 1,
	probes: 1,
	stalledResumes: 1,
};

const GENERATION_OPTIONS = {
	id: GENERATION_ID,
	policy: DETECTION_POLICY,
	retryLimit: 2,
};

/** Creates the guards with the named ones disabled. */
export function createGuards(disabled: readonly string[]): GenerationGuards {
	const off = disabled.map((name) => [name, false] as const);
	return {...ALL_GUARDS, ...Object.fromEntries(off)};
}

/** Creates the world before the first placement. */
export function createWorld(guards: GenerationGuards): World {
	const {state} = createGeneration(
		{...GENERATION_OPTIONS, guards, start: {kind: 'new'}},
		0,
	);
	const backend: ModelBackend = {status: 'up', holdings: []};
	return {
		generation: state,
		backends: {a: backend, b: backend},
		connections: [],
		messages: [],
		cancels: [],
		held: [],
		transcript: [],
		orphans: [],
		started: [],
		entryDeaths: 0,
		faults: 0,
	};
}

/** Resumes the generation at another entry from the caller's cursor. */
export function adoptGeneration(world: World, cursor: AttemptReference) {
	return createGeneration(
		{
			...GENERATION_OPTIONS,
			guards: world.generation.guards,
			start: {
				kind: 'adopt',
				backend: cursor.backend,
				attempt: cursor.attempt,
				offset: world.transcript.length,
				prefixAvailable: false,
				nextAttempt: world.entryDeaths * ATTEMPT_STRIDE,
			},
		},
		0,
	);
}

/** Updates one backend server. */
export function updateBackend(
	world: World,
	name: BackendName,
	change: Partial<ModelBackend>,
): World {
	const backend = {...world.backends[name], ...change};
	return {...world, backends: {...world.backends, [name]: backend}};
}

/** Finds an attempt that a backend server holds and has not cancelled. */
export function findHeldAttempt(
	world: World,
	{backend, attempt}: AttemptReference,
): HeldAttempt | undefined {
	return world.backends[backend].holdings.find(
		(holding) => holding.attempt === attempt && !holding.cancelled,
	);
}
