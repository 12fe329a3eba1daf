/** Protecting rules; only the specification and tests switch one off. */
export type GenerationGuards = Readonly<{
	/** Chunks of an earlier connection are ignored. */
	connectionCheck: boolean;
	/** Chunks of another attempt are a fault of the connection. */
	attemptCheck: boolean;
	/** Chunks of another generation are a fault of the connection. */
	generationCheck: boolean;
	/** A gap in the offsets is a fault of the connection. */
	gapCheck: boolean;
	/** Repeated tokens are dropped. */
	overlapCheck: boolean;
	/** An end with another total than delivered is a fault. */
	endTotalCheck: boolean;
	/** A probe on a new connection comes before a death. */
	probeBeforeDeath: boolean;
	/** The attempt left behind is cancelled. */
	cancelOld: boolean;
	/** A new attempt goes on from the delivered tokens. */
	prefixOnResume: boolean;
	/** No new attempt while the delivered prefix is not at hand. */
	prefixRequired: boolean;
	/** After an adoption, attempts have numbers that no other entry used. */
	freshAttempts: boolean;
}>;

/** Every rule in force. */
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
