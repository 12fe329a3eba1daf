export {
	applyGuardedCommand,
	applyRolloutCommand,
	judgeOrder,
	type OrderOutcome,
} from './apply.js';
export {
	addCounts,
	classifyTime,
	compareWithTime,
	countAll,
	findMedianClass,
	MAX_TIME_CLASS,
	NO_COUNTS,
	type OutcomeCounts,
	type SecondCounts,
	subtractCounts,
	type VersionCounts,
} from './counts.js';
export {
	type CompactCounts,
	decodeDecisions,
	fromCompactCounts,
	isRolloutReport,
	type RolloutCounts,
	type RolloutDecisions,
	type RolloutReport,
	toCompactCounts,
} from './report.js';
export {
	drawVersion,
	isVersionAllowed,
	readShare,
	type ShareCredits,
	type VersionDraw,
} from './share.js';
export {
	type IsRolloutGuarded,
	ROLLOUT_GUARDS,
	type RolloutGuard,
} from './guards.js';
export {
	decodeRollouts,
	EMPTY_ROLLOUTS,
	encodeRollouts,
	isRolloutCommand,
	isRolloutDuration,
	isRolloutName,
	LAST_STEP,
	MAX_DURATION_MS,
	type RolloutCommand,
	type RolloutOrder,
	type RolloutStage,
	type RolloutState,
	type ServiceRollout,
	SHARE_STEPS,
} from './state.js';
export {findFault} from './fault.js';
export {
	decideRollout,
	MIN_STEP_MS,
	type RolloutBounds,
	type Verdict,
	type VerdictInput,
} from './verdict.js';
