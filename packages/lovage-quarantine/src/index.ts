export {DEFAULT_QUARANTINE_OPTIONS, createQuarantine} from './state.js';
export {stepQuarantine} from './step.js';
export {summarizeQuarantine} from './summary.js';
export type {
	Death,
	QuarantineEvent,
	QuarantineGuards,
	QuarantineOptions,
	QuarantineState,
	QuarantineSummary,
	ReportedDeath,
	StrikeRecord,
} from './types.js';
