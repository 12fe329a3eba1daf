export type {
	Attempt,
	FailureReason,
	GenerationEffect,
	GenerationEvent,
} from './types.js';
