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
	/** Longest time for which this process stood still while the question was open. */
	pauseMs: number;
}>;

/** Whether a backend server is the incarnation that registered. */
export type IncarnationProof =
	| Readonly<{kind: 'proved'}>
	/** It is another incarnation, so its software version is not known. */
	| Readonly<{kind: 'replaced'; bornAt: number}>
	/** Nothing shows which one it is. */
	| Readonly<{kind: 'unproved'; reason: string}>;

/**
 * A word that waited in a socket for so long may be that of an incarnation which
 * has ended since; the fastest servers are back after some hundred milliseconds.
 */
export const MAX_QUESTION_PAUSE_MS = 400;

/** Decides what a backend server's word, or its silence, shows. Silence shows nothing. */
export function proveIncarnation({
	registeredBornAt,
	isNamingUsual,
	word,
	pauseMs,
}: IncarnationEvidence): IncarnationProof {
	// Where no server names its start, its id is all there is, and it checks that itself.
	if (registeredBornAt === 0 && !isNamingUsual && word.kind !== 'named') {
		return {kind: 'proved'};
	}

	if (pauseMs > MAX_QUESTION_PAUSE_MS) {
		return {kind: 'unproved', reason: 'this instance stood still'};
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

/** State of a request that waits for the word of the backend server chosen for it. */
export type ProofWait = Readonly<{
	waitedMs: number;
	/** Whether another one of its software version has proved itself since the request waits. */
	isOtherProved: boolean;
}>;

/** What a request does that waits for a backend server's word. */
export type ProofWaitDecision =
	| 'wait'
	/** Others of the software version are asked as well. */
	| 'ask-others'
	| 'give-up';

/** Backend servers that aren't slow answer within milliseconds. */
const PROMPT_MS = 250;
/** Callers leave a stream that pauses for two seconds. */
export const MAX_PROOF_WAIT_MS = 1500;

/** Decides how long a request waits for the word of the backend server chosen for it. */
export function decideProofWait({
	waitedMs,
	isOtherProved,
}: ProofWait): ProofWaitDecision {
	if (waitedMs < PROMPT_MS) {
		return 'wait';
	}

	return isOtherProved || waitedMs >= MAX_PROOF_WAIT_MS
		? 'give-up'
		: 'ask-others';
}
