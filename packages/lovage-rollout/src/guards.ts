/** Safety checks of commands; the specification disables them one by one to test its invariants. */
export const ROLLOUT_GUARDS = [
	'repeatChangesNothing',
	'oneRunningOrder',
	'verdictOnSameVersion',
	'endedIsFinal',
	'stepNeverFalls',
] as const;

/** Name of a safety check. */
export type RolloutGuard = (typeof ROLLOUT_GUARDS)[number];

/** Tells whether a safety check is enabled. */
export type IsRolloutGuarded = (guard: RolloutGuard) => boolean;

/** Enables every safety check. */
export const areAllRolloutGuardsEnabled: IsRolloutGuarded = () => true;
