import {
	ALL_GUARDS,
	createGeneration,
	type DetectionPolicy,
	type GenerationGuards,
	type GenerationState,
} from '@lovagevalve/generation';

/** Tokens of a whole answer in the model. */
export const ANSWER_TOKENS = 2;
/** Faults of any kind in one run. */
export const MAX_FAULTS = 3;
/** Apart enough for the attempts of one entry. */
const ATTEMPT_STRIDE = 10;
export const GENERATION_ID = 'g';
export const FOREIGN_GENERATION_ID = 'x';
export const BACKEND_NAMES = ['a', 'b'] as const;

/** Name of a backend server in the model. */
export type BackendName = (typeof BACKEND_NAMES)[number];

/** A token, named by the attempt that generated it; 0 for a foreign one. */
export type Token = number;

/** An attempt as its backend server holds it. */
export type HeldAttempt = Readonly<{
	attempt: number;
	/** The whole answer so far, prefix included. */
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

/** A message on its way to the entry. */
export type ModelMessage = Readonly<{
	connection: number;
	generation: string;
	attempt: number;
	offset: number;
	tokens: readonly Token[];
	/** Whether the end of the answer follows its tokens. */
	isLast: boolean;
}>;

/** Something asked of a backend server that has not been answered. */
export type AttemptReference = Readonly<{
	backend: BackendName;
	attempt: number;
}>;

/** The generation with everything around it. */
export type World = Readonly<{
	generation: GenerationState;
	backends: Readonly<Record<BackendName, ModelBackend>>;
	connections: readonly ModelConnection[];
	messages: readonly ModelMessage[];
	probe?: AttemptReference & Readonly<{probe: number}>;
	cancels: readonly AttemptReference[];
	/** Tokens that the entry holds. */
	held: readonly Token[];
	/** Tokens that the caller has. */
	transcript: readonly Token[];
	/** Where the caller's last token came from. */
	cursor?: AttemptReference;
	/** Attempts whose entry died with their cancellation. */
	orphans: readonly number[];
	/** Numbers of the attempts started so far. */
	started: readonly number[];
	/** Entries that died. */
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

/** Creates the guards without those named. */
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

/** Begins the generation again at another entry from the caller's cursor. */
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

/** Replaces one backend server. */
export function updateBackend(
	world: World,
	name: BackendName,
	change: Partial<ModelBackend>,
): World {
	const backend = {...world.backends[name], ...change};
	return {...world, backends: {...world.backends, [name]: backend}};
}

/** Finds an attempt that a backend server still runs or has finished. */
export function findHeldAttempt(
	world: World,
	{backend, attempt}: AttemptReference,
): HeldAttempt | undefined {
	return world.backends[backend].holdings.find(
		(holding) => holding.attempt === attempt && !holding.cancelled,
	);
}
