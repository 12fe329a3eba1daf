/** Safety checks; the specification disables them one by one to test its invariants. */
export const CONTROL_GUARDS = [
	'baseVersionCheck',
	'operationHistory',
	'waitForLeases',
	'predecessorLeases',
	'fencingNumber',
	'singleOrderHolder',
	'confirmBeforeOrder',
	'waitOutOldHolder',
	'paceLoads',
] as const;

/** Name of a safety check. */
export type ControlGuard = (typeof CONTROL_GUARDS)[number];

/** Tells whether a safety check is enabled. */
export type IsGuarded = (guard: ControlGuard) => boolean;

/** Enables every safety check. */
export const areAllGuardsEnabled: IsGuarded = () => true;
