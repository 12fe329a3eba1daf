export {
	limitAnswerSize,
	MAX_ANSWER_BYTES,
	measureAnswer,
	summariseAnswer,
} from './answers.js';
export {createClaimsStep, stepClaims} from './claims.js';
export type {
	DispatchEffect,
	DispatchEvent,
	DispatchReply,
	DispatchState,
} from './dispatch.js';
export {createDispatch, createDispatchStep, stepDispatch} from './dispatch.js';
export type {ClaimGuard, IsGuardEnabled} from './guards.js';
export {areAllGuardsEnabled, CLAIM_GUARDS} from './guards.js';
export {createRequestKey, parseIssuedAt} from './request-id.js';
export type {ClaimsSnapshot, ClaimsState} from './state.js';
export {createClaims, decodeClaims, encodeClaims} from './state.js';
export type {
	ClaimAnswer,
	ClaimCommand,
	ClaimEffect,
	ClaimEvent,
	ClaimLimits,
	ClaimOutcome,
	ClaimRecord,
	ClaimRequest,
	ClaimState,
	Holder,
	Json,
	StoredAnswer,
} from './types.js';
export {DEFAULT_CLAIM_LIMITS} from './types.js';
