export {DEFAULT_QUARANTINE_OPTIONS, createQuarantine} from './state.js';
export {stepQuarantine} from './step.js';
export {viewQuarantine} from './view.js';
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
