export {ALL_GUARDS, type GenerationGuards} from './guards.js';
export {
	NO_GAP_STATISTICS,
	getMaxNormalSilenceMs,
	addGap,
	type GapStatistics,
} from './gap-statistics.js';
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
export {getNextDeadline} from './attempt.js';
export {stepGeneration} from './step.js';
export type {
	Attempt,
	DeathCause,
	FailureReason,
	GenerationEffect,
	GenerationEvent,
} from './types.js';
