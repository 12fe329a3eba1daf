export {
	computeCapacity,
	countSelected,
	describeMachines,
	isSameServing,
	isSelective,
	joinMachines,
	planSelection,
	selectAddresses,
} from './address-selection.js';
export type {
	AddressQuestion,
	SelectionPlan,
	ServingEntry,
	ServingMachine,
} from './address-selection.js';
export {decodeRanks, encodeRanks, isRankSet} from './rank-set.js';
export {judgeAnswer} from './answer-verdict.js';
export type {
	AnswerHead,
	AnswerSource,
	AnswerVerdict,
	ExpectedAnswer,
} from './answer-verdict.js';
export {decideRetry, isRepeatable} from './attempts.js';
export type {AttemptFailure, RetryDecision, RetryInputs} from './attempts.js';
export {isSocketAddress, parseSocketAddress} from './backend-address.js';
export type {SocketAddress} from './backend-address.js';
export {
	countReady,
	createBackendStore,
	dropOldRecords,
	isSameRegistration,
	mergeRecords,
	RECORD_RETENTION_MS,
	applyReportedAges,
} from './backend-table.js';
export type {
	BackendRecord,
	BackendState,
	BackendStore,
	BackendTable,
	MergeOutcome,
	MergeResult,
	StoreMerge,
} from './backend-table.js';
export {
	createIncarnationKey,
	isRunningIncarnation,
	parseIncarnationKey,
} from './incarnation.js';
export type {Incarnation} from './incarnation.js';
export {applyReachRound, chooseRelays, CONNECTED} from './backend-reach.js';
export type {Reach, ReachRound, RelayCandidate} from './backend-reach.js';
export {
	acceptsBrittle,
	chooseCoolDownMs,
	countBorrowers,
	countOwnSlots,
	countRejected,
	countRepeats,
	isBorrowedSlot,
	mayBorrowSlot,
	MIN_STEADY_MS,
	REJECTION_WINDOW_MS,
} from './brittle-backend.js';
export type {
	BorrowInputs,
	BrittleInputs,
	Occupancy,
	SlotShare,
} from './brittle-backend.js';
export {
	decideRegistration,
	MAX_RECORDS,
	MAX_VERSIONS,
} from './registration-room.js';
export type {
	RegistrationDecision,
	RegistrationUse,
} from './registration-room.js';
export {clearHand, createSpreadDraws, dealDraw} from './spread-draws.js';
export type {SpreadDraws} from './spread-draws.js';
export {findClosedReason, recordNotice} from './backend-notices.js';
export type {
	BackendNotice,
	BackendNotices,
	ClosedReason,
} from './backend-notices.js';
export {addLoad, NO_LOAD, subtractLoad} from './load.js';
export type {BackendLoad} from './load.js';
export {decodeOriginAnswer} from './origin-decoder.js';
export {readOwn} from './own-property.js';
export {chooseBackend} from './placement.js';
export type {Candidate, PlacementRequest} from './placement.js';
export {decodeRecord, isHeaderId} from './record-decoder.js';
export {decodeControlReport} from './report-decoder.js';
export type {DecodedRecord} from './record-decoder.js';
export {
	fromAgedRecord,
	fromCompactLoads,
	toAgedRecord,
	toCompactLoads,
} from './report.js';
export type {
	AgedRecord,
	AgesRequest,
	CompactLoads,
	ControlReport,
	Crash,
	CrashReport,
	EntryReport,
	EntryStatus,
	KnownRevision,
	LimitReport,
	LimitReports,
	OriginReport,
	ClusterOverview,
	SharedEntryReport,
} from './report.js';
export {
	applyLimitNotice,
	computeLimitShares,
	drawLimited,
	estimateDemand,
	keepNewest,
	LIMIT_WINDOW_MS,
} from './rate-limit.js';
export type {
	DemandCounts,
	LimitContext,
	LimitCredits,
	LimitedCandidate,
	LimitNotice,
	LimitStatement,
} from './rate-limit.js';
export {
	countRecent,
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
export {
	decideHeldRun,
	MAX_HOLD_MS,
	proveIncarnation,
} from './incarnation-proof.js';
export type {
	HeldRun,
	HeldRunDecision,
	IncarnationEvidence,
	IncarnationProof,
	IncarnationWord,
} from './incarnation-proof.js';
export {MAX_ORIGIN_KEEP_MS, parseOriginReports} from './origin-telling.js';
export {
	decideResume,
	decideUnplaced,
	isBeginningReplaced,
	isOriginDoubtful,
	isSameOrigin,
	readSoftwareVersion,
} from './stream-origin.js';
export type {
	OriginAnswer,
	OriginEvidence,
	ResumeDecision,
	StreamBeginning,
	StreamOrigin,
	UnplacedDecision,
	UnplacedInputs,
	VersionAges,
} from './stream-origin.js';
export {
	addRepeated,
	classifyPart,
	chooseResumeId,
	decideStreamEnd,
	hasEventIdLength,
	isStreamAnswer,
	parseStreamPart,
} from './stream-answer.js';
export type {
	PartKind,
	RepeatedEvents,
	RunEnd,
	StreamAnswerHead,
	StreamEndDecision,
	StreamPart,
} from './stream-answer.js';
export {decideStallAction, isStillSending} from './stalled-stream.js';
export type {
	ProbeState,
	StallAction,
	StallInputs,
	StreamSilence,
} from './stalled-stream.js';
export {
	isAvoided,
	getAvoidReason,
	recordExchange,
	UNKNOWN_HEALTH,
} from './backend-health.js';
export type {
	AvoidReason,
	BackendHealth,
	ExchangeOutcome,
} from './backend-health.js';
export {decideDrainAdmission} from './drain-admission.js';
export type {DrainDecision, DrainInputs} from './drain-admission.js';
export type {EventCredit, StreamProgress} from './answer-flood.js';
export {
	createEventCredit,
	findStreamFlood,
	NO_PROGRESS,
	spendEvent,
} from './answer-flood.js';
export {
	applyTelling,
	decodeFloods,
	describeMetFloods,
	describeTold,
	hearFloods,
	listAvoidedAsTold,
	recordFlood,
} from './flood-telling.js';
export type {FloodReports, FloodTimes, ToldFloods} from './flood-telling.js';
export {
	addEventGap,
	addSpeeds,
	addSpeedSample,
	areSpeedsFaded,
	computePlainWork,
	computeRelativeSpeed,
	decaySpeeds,
	estimateSpeed,
	NO_SPEED,
	SPEED_HALF_LIFE_MS,
	subtractSpeeds,
} from './server-speed.js';
export type {RelativeSpeed, ServiceSpeeds, SpeedSums} from './server-speed.js';
export {assessSpeeds} from './speed-spread.js';
export {
	decodeSpeeds,
	fromCompactSpeeds,
	toCompactSpeeds,
} from './speed-reports.js';
export type {CompactSpeeds} from './speed-reports.js';
