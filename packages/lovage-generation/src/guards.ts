/** Safety checks; only the specification, measurements and tests disable one. */
export type GenerationGuards = Readonly<{
	/** Chunks of an earlier connection are ignored. */
	connectionCheck: boolean;
	/** A chunk of another attempt is a connection error. */
	attemptCheck: boolean;
	/** A chunk of another generation is a connection error. */
	generationCheck: boolean;
	/** A gap in the offsets is a connection error. */
	gapCheck: boolean;
	/** Repeated tokens are dropped. */
	overlapCheck: boolean;
	/** An end whose total differs from the delivered tokens is a connection error. */
	endTotalCheck: boolean;
	/** A backend server is probed before it counts as dead. */
	probeBeforeDeath: boolean;
	/** An abandoned attempt is cancelled. */
	cancelOld: boolean;
	/** A new attempt continues after the delivered tokens. */
	prefixOnResume: boolean;
	/** No new attempt starts unless the host has all delivered tokens. */
	prefixRequired: boolean;
	/** After an adoption, new attempts get numbers that no other entry has used. */
	freshAttempts: boolean;
}>;

/** Enables every safety check. */
export const ALL_GUARDS: GenerationGuards = {
	connectionCheck: true,
	attemptCheck: true,
	generationCheck: true,
	gapCheck: true,
	overlapCheck: true,
	endTotalCheck: true,
	probeBeforeDeath: true,
	cancelOld: true,
	prefixOnResume: true,
	prefixRequired: true,
	freshAttempts: true,
};
