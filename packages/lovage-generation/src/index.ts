export {ALL_GUARDS, type GenerationGuards} from './guards.js';
export {
	UNKNOWN_PACE,
	getAllowedSilence,
	updatePace,
	type Pace,
} from './pace.js';
export {
	getDetectionPolicy,
	type DetectionPolicy,
	type ObjectiveKind,
} from './policy.js';
export {
	createGeneration,
	type GenerationOptions,
	type GenerationStart,
	type GenerationState,
	type GenerationTransition,
	type PendingLoss,
	type Phase,
} from './state.js';
export {getNextDeadline} from './running.js';
export {stepGeneration} from './step.js';
export type {
	Attempt,
	DeathCause,
	FailureReason,
	GenerationEffect,
	GenerationEvent,
} from './types.js';
