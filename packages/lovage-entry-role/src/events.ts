import type {
	ClaimAnswer,
	ClaimRequest,
	ClaimOutcome as ClaimSettlement,
	StoredAnswer,
} from '@lovagevalve/claims';
import type {GenerationEvent} from '@lovagevalve/generation';
import type {HomeAnswer, Place} from './homes.js';
import type {LeaseGrant} from './lease.js';
import type {BackendAnnouncement} from './view.js';

/** Where a caller's answer had got to, as an authenticated cursor says. */
export type Cursor = Readonly<{
	customer: string;
	requestId: string;
	generation: string;
	backend: string;
	attempt: number;
	/** Entry that wrote the cursor. */
	entry: string;
	/** Tokens that the caller has. */
	offset: number;
}>;

/** A caller's request to generate. Sizes in bytes of UTF-8. */
export type GenerationInput = Readonly<{
	requestId: string;
	service: string;
	model?: string;
	promptBytes: number;
	maxTokens: number;
	deadlineMs?: number;
	/** Digest of service, model, prompt and limits. */
	digest: string;
	/** Digests of the prompt's leading blocks, shortest first. */
	prefixes: readonly string[];
	cursor?: Cursor;
	/** Whether the caller sent the tokens before the cursor, and they match it. */
	hasDelivered: boolean;
}>;

/** A caller's call of a plain service. */
export type CallInput = Readonly<{
	requestId: string;
	attempt: number;
	service: string;
	operation: string;
	deadlineMs?: number;
	/** Digest of service, operation and body. */
	digest: string;
}>;

/** Body and status of a backend server's answer to a call. */
export type CallResult = Readonly<StoredAnswer>;

/** Answer for a claim; `unavailable` when no quorum answered in time. */
export type ClaimOutcome = ClaimAnswer | {kind: 'unavailable'};

/** Suspected and convicted requests. */
export type Quarantine = Readonly<{
	version: number;
	/** To be kept apart from each other. */
	suspects: readonly string[];
	/** Not to be placed until the last death is judged. */
	held: readonly string[];
	/** Refused at once. */
	convicted: readonly string[];
}>;

/**
 * Events of an entry instance. `now` is monotonic milliseconds, `random` is
 * uniform in [0, 1). Streams and calls are named by the host.
 */
export type EntryEvent =
	| {
			kind: 'generation-requested';
			stream: string;
			keyHash: string;
			/** Id for a new generation, unique across entries. */
			generation: string;
			input: GenerationInput;
			now: number;
			random: number;
	  }
	/** A home of the stream's request answered, or did not (`undefined`). */
	| {
			kind: 'home-answered';
			stream: string;
			/** Id of the home. */
			home: string;
			answer: HomeAnswer | undefined;
			now: number;
			random: number;
	  }
	| {
			kind: 'generation-event';
			stream: string;
			event: GenerationEvent;
			random: number;
	  }
	/** The connection to the caller ended before the answer was whole. */
	| {kind: 'caller-left'; stream: string; now: number; random: number}
	/** Another entry serves the caller of this generation now. */
	| {kind: 'generation-released'; generation: string}
	/** Another entry registers a place of which this entry is the home. */
	| {kind: 'place-registered'; place: Place; now: number}
	/** A generation ended without a whole answer: its place is forgotten. */
	| {kind: 'place-forgotten'; place: Place}
	| {
			kind: 'call-requested';
			call: string;
			keyHash: string;
			input: CallInput;
			now: number;
			random: number;
	  }
	| {
			kind: 'claim-answered';
			call: string;
			answer: ClaimOutcome;
			now: number;
			random: number;
	  }
	/** The backend server answered. */
	| {
			kind: 'call-answered';
			call: string;
			dispatch: number;
			result: CallResult;
			now: number;
			random: number;
	  }
	/** The connection is open and no byte was written. */
	| {
			kind: 'call-connected';
			call: string;
			dispatch: number;
			now: number;
			random: number;
	  }
	/** No byte was handed to the backend server. */
	| {
			kind: 'call-not-sent';
			call: string;
			dispatch: number;
			now: number;
			random: number;
	  }
	/** The exchange failed after bytes may have been handed over. */
	| {
			kind: 'call-lost';
			call: string;
			dispatch: number;
			now: number;
			random: number;
	  }
	| {
			kind: 'backend-announced';
			announcement: BackendAnnouncement;
			/** Whether it came from the backend server and not from another entry. */
			isDirect: boolean;
			now: number;
			random: number;
	  }
	| {kind: 'lease-granted'; askedAt: number; grant: LeaseGrant; now: number}
	| {
			kind: 'quarantine-learned';
			quarantine: Quarantine;
			now: number;
			random: number;
	  }
	/** The control group has the reports of these deaths. */
	| {
			kind: 'deaths-acknowledged';
			deaths: ReadonlyArray<Readonly<{backend: string; incarnation: number}>>;
			quarantine: Quarantine;
			now: number;
			random: number;
	  }
	| {kind: 'drain-requested'; now: number}
	| {kind: 'ticked'; now: number; random: number};

/** Why a caller gets no answer. The host turns it into a problem document. */
export type Refusal =
	| 'unauthenticated'
	| 'no-lease'
	| 'draining'
	| 'unknown-service'
	| 'invalid-request'
	| 'too-large'
	| 'overloaded'
	| 'no-backend-server'
	| 'deadline-passed'
	| 'retry-budget-spent'
	| 'quarantined'
	| 'conflict'
	| 'in-progress'
	| 'outcome-unknown'
	| 'not-run'
	| 'id-too-old'
	| 'unsettled'
	| 'invalid-cursor'
	| 'prefix-missing'
	| 'generation-lost'
	| 'backend-refused';

/** What is known of the work behind a refused request. */
export type RefusalOutcome = 'not-run' | 'unknown' | 'in-progress';

/** A refusal with what the caller may do next. */
export type RefusalDetail = Readonly<{
	reason: Refusal;
	detail: string;
	outcome?: RefusalOutcome;
	retryAfterMs?: number;
	addresses?: readonly string[];
}>;

/** Effects of an entry instance, run by the host in order. */
export type EntryEffect =
	/** Final answer of a stream; before any token as a status, else in the stream. */
	| {kind: 'refuse-stream'; stream: string; refusal: RefusalDetail}
	/** Ask a home entry where the request lives, offering this place. */
	| {
			kind: 'register-home';
			stream: string;
			home: string;
			/** Home entry's address. */
			address: string;
			place: Place;
	  }
	/** Tell the home entry of a change; no answer is awaited. */
	| {kind: 'update-home'; address: string; place: Place}
	| {kind: 'forget-home'; address: string; place: Place}
	/** Tell the entry that served the caller before to keep its hands off. */
	| {kind: 'release-generation'; address: string; generation: string}
	| {
			kind: 'start-attempt';
			stream: string;
			address: string;
			backend: string;
			generation: string;
			attempt: number;
			connection: number;
			prefixLength: number;
			model: string | undefined;
			priority: number;
	  }
	| {
			kind: 'resume-attempt';
			stream: string;
			address: string;
			backend: string;
			generation: string;
			attempt: number;
			connection: number;
			offset: number;
	  }
	| {kind: 'close-connection'; stream: string; connection: number}
	| {
			kind: 'probe-attempt';
			stream: string;
			address: string;
			generation: string;
			attempt: number;
			probe: number;
	  }
	/** Cancel an attempt; try again until it is answered or `giveUpAfterMs`. */
	| {
			kind: 'cancel-attempt';
			address: string;
			generation: string;
			attempt: number;
			giveUpAfterMs: number;
	  }
	/** Pass on the last `count` tokens of the chunk just received. */
	| {kind: 'deliver-tokens'; stream: string; offset: number; count: number}
	/** Keep tokens of the chunk just received as prefix only. */
	| {kind: 'retain-tokens'; stream: string; offset: number; count: number}
	| {kind: 'finish-stream'; stream: string; total: number}
	| {kind: 'open-claim'; call: string; request: ClaimRequest}
	/** Settle "not run" for a request that this entry refuses without a claim. */
	| {kind: 'refuse-claim'; call: string; request: ClaimRequest}
	/** Report a claim's final state; try again until the control group answers. */
	| {
			kind: 'settle-claim';
			call: string;
			customer: string;
			requestId: string;
			claim: string;
			outcome: ClaimSettlement;
	  }
	/** Connect to a backend server; no byte is written before `write-call`. */
	| {
			kind: 'connect-call';
			call: string;
			dispatch: number;
			customer: string;
			address: string;
			timeoutMs: number;
	  }
	/** Write the request now, in the same turn, or never. */
	| {kind: 'write-call'; call: string; dispatch: number}
	| {
			kind: 'answer-call';
			call: string;
			result: CallResult;
			replayed: boolean;
	  }
	| {kind: 'refuse-call'; call: string; refusal: RefusalDetail}
	| {kind: 'relay-announcement'; announcement: BackendAnnouncement}
	| {
			kind: 'report-death';
			backend: string;
			incarnation: number;
			dataCentre: string;
			rack?: string;
			digests: readonly string[];
	  }
	/** A suspect ran to its end. */
	| {kind: 'report-completed'; digest: string}
	/** Renew the lease now. */
	| {kind: 'renew-lease'}
	/** Facts for the report on service-level burn. */
	| {kind: 'record'; fact: Fact}
	/** Everything is finished: the process may end. */
	| {kind: 'drained'};

type Subject = Readonly<{customer: string; service: string}>;

/** A fact for the report; amounts are tokens, or calls of a plain service. */
export type Fact =
	| (Subject & {kind: 'first-token'; waitMs: number})
	| (Subject & {
			kind: 'resumed';
			waitMs: number;
			cause: 'connection-lost' | 'backend-server-lost' | 'entry-lost';
	  })
	| (Subject & {
			kind: 'ended';
			outcome: 'finished' | 'failed' | 'refused' | 'rejected';
	  })
	| (Subject & {kind: 'worked'; amount: number})
	| (Subject & {
			kind: 'extra-used';
			amount: number;
			cause: 'recomputed-prefill' | 'wasted-decode' | 'duplicate-attempt';
	  });
