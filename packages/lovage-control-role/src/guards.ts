/** Rules of the control role; the specification switches them off. */
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

/** Name of a protecting rule. */
export type ControlGuard = (typeof CONTROL_GUARDS)[number];

/** Tells whether a rule is on. */
export type IsGuarded = (guard: ControlGuard) => boolean;

/** Every rule on. */
export const isAlwaysGuarded: IsGuarded = () => true;
