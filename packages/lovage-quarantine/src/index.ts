export {createPartKey, isPartKey} from './part-key.js';
export {listJudgedEvents, type JudgedEvent} from './explain.js';
export {isInStartWindow} from './run-window.js';
export {DEFAULT_QUARANTINE_OPTIONS, createQuarantine} from './state.js';
export {stepQuarantine} from './step.js';
export {summarizeQuarantine} from './summary.js';
export type {
	Death,
	PartDigests,
	QuarantineEvent,
	QuarantineGuards,
	QuarantineOptions,
	QuarantineState,
	QuarantineSummary,
	ReportedDeath,
	StrikeRecord,
} from './types.js';
