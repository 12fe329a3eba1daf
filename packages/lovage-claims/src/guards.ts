/** Safety rules of the claims protocol; the specification disables single ones. */
export const CLAIM_GUARDS = [
	'claimBeforeDispatch',
	'digestCheck',
	'grantOnce',
	'holderOnlyNotRun',
	'tombstoneBeforeNotRun',
	'attemptAboveNotRun',
	'recheckBeforeDispatch',
	'unknownNotRetried',
	'retentionHorizon',
] as const;

/** Name of a safety rule. */
export type ClaimGuard = (typeof CLAIM_GUARDS)[number];

/** Returns whether a safety rule is enabled. */
export type IsGuardEnabled = (guard: ClaimGuard) => boolean;

/** Enables every safety rule. */
export const areAllGuardsEnabled: IsGuardEnabled = () => true;
