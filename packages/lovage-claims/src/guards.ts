/** Rules of the claims protocol; the specification switches them off. */
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

/** Name of a protecting rule. */
export type ClaimGuard = (typeof CLAIM_GUARDS)[number];

/** Tells whether a rule is on. */
export type IsGuardEnabled = (guard: ClaimGuard) => boolean;

/** Every rule on. */
export const areAllGuardsEnabled: IsGuardEnabled = () => true;
