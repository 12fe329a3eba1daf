/** What a backend server said when it was asked which incarnation it is. */
export type IncarnationWord =
	| Readonly<{kind: 'named'; bornAt: number}>
	/** It answered and named no start. */
	| Readonly<{kind: 'unnamed'}>
	| Readonly<{kind: 'silent'; reason: string}>;

/** Everything that bears on whether a backend server is the one that registered. */
export type IncarnationEvidence = Readonly<{
	/** Start that the registration names; 0 if it names none. */
	registeredBornAt: number;
	/** Whether any backend server of the service names its start. */
	isNamingUsual: boolean;
	word: IncarnationWord;
}>;

/** Whether a backend server is the incarnation that registered. */
export type IncarnationProof =
	| Readonly<{kind: 'proved'}>
	/** It is another incarnation, so its software version is not known. */
	| Readonly<{kind: 'replaced'; bornAt: number}>
	/** Nothing shows which one it is. */
	| Readonly<{kind: 'unproved'; reason: string}>;

/** Decides what a backend server's word, or its silence, shows. Silence shows nothing. */
export function proveIncarnation({
	registeredBornAt,
	isNamingUsual,
	word,
}: IncarnationEvidence): IncarnationProof {
	// Where no server names its start, its id is all there is, and it checks that itself.
	if (registeredBornAt === 0 && !isNamingUsual && word.kind !== 'named') {
		return {kind: 'proved'};
	}

	switch (word.kind) {
		case 'named': {
			return word.bornAt === registeredBornAt
				? {kind: 'proved'}
				: {kind: 'replaced', bornAt: word.bornAt};
		}

		case 'unnamed': {
			return {kind: 'unproved', reason: 'it names no start'};
		}

		case 'silent': {
			return {kind: 'unproved', reason: word.reason};
		}
	}
}

/** State of a run whose answer is held back until its backend server is proved. */
export type HeldRun = Readonly<{
	/** Outcome of the last question that was asked on a connection after the run's; absent at first. */
	proof: IncarnationProof | undefined;
	/** Time since its answer arrived, in milliseconds; absent if it hasn't. */
	answeredMs: number | undefined;
}>;

/** What becomes of a run whose answer is held back. */
export type HeldRunDecision =
	| Readonly<{kind: 'hold'}>
	| Readonly<{kind: 'deliver'}>
	| Readonly<{kind: 'leave'; reason: string; isReplaced: boolean}>;

/**
 * A backend server that has answered is not much slower with its word. One that
 * hasn't may be short of processor time, and is given as long as any first event.
 */
export const MAX_HOLD_MS = 1500;

/**
 * Decides whether a run's answer may be delivered. A connection ends at the process
 * that accepted it, so the word of a backend server on a later connection speaks for
 * the whole answer, whenever it arrives.
 */
export function decideHeldRun({proof, answeredMs}: HeldRun): HeldRunDecision {
	switch (proof?.kind) {
		case 'replaced': {
			return {kind: 'leave', reason: 'it has started again', isReplaced: true};
		}

		case 'proved': {
			return answeredMs === undefined ? {kind: 'hold'} : {kind: 'deliver'};
		}

		case 'unproved':
		case undefined: {
			if (answeredMs === undefined || answeredMs < MAX_HOLD_MS) {
				return {kind: 'hold'};
			}

			const reason = proof?.reason ?? 'it has not answered in time';
			return {
				kind: 'leave',
				reason: `its incarnation is unproved: ${reason}`,
				isReplaced: false,
			};
		}
	}
}
