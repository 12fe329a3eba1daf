export {decideRetry, isRepeatable} from './attempts.js';
export type {AttemptFailure, RetryDecision, RetryInputs} from './attempts.js';
export {
	dropOldRecords,
	isSameRegistration,
	mergeRecords,
	refreshAges,
} from './backend-table.js';
export type {
	BackendRecord,
	BackendState,
	BackendTable,
	MergeOutcome,
	MergeResult,
} from './backend-table.js';
export {listConvicted, recordCrashes} from './crash-ledger.js';
export type {Crash, CrashLedger} from './crash-ledger.js';
export {addLoad, NO_LOAD} from './load.js';
export type {BackendLoad} from './load.js';
export {chooseBackend} from './placement.js';
export type {Candidate, Work} from './placement.js';
export {fromAged, fromCompactLoads, toAged, toCompactLoads} from './report.js';
export type {
	AgedRecord,
	CompactLoads,
	ControlReport,
	EntryReport,
	EntryStanding,
	KnownRevision,
	Overview,
	OwnReport,
} from './report.js';
export {
	countRequest,
	countWindow,
	EMPTY_BUDGET,
	spendRetry,
} from './retry-budget.js';
export type {
	RetryBudget,
	RetryBudgetPolicy,
	RetryCounts,
} from './retry-budget.js';
export {judgeSilence} from './silence.js';
export type {ProbeState, SilenceDecision, SilenceInputs} from './silence.js';
export {
	isAvoided,
	readAvoidReason,
	recordSignal,
	UNKNOWN_HEALTH,
} from './backend-health.js';
export type {
	AvoidReason,
	BackendHealth,
	HealthSignal,
} from './backend-health.js';
