export {
	ALL_GUARDS,
	createAdmission,
	type AdmissionGuards,
	type AdmissionOptions,
	type AdmissionState,
	type AdmissionTransition,
	type CustomerQueue,
	type QueuedRequest,
	type QueuedResumedRequest,
} from './state.js';
export type {RetryBudget} from './budget.js';
export type {QueuePace} from './pace.js';
export {countWaiting} from './queue.js';
export {stepAdmission} from './step.js';
export type {
	AdmissionEffect,
	AdmissionEvent,
	RefusalReason,
	ResumedRequest,
	WaitingRequest,
} from './types.js';
