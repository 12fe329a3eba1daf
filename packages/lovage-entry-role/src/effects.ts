import type {
	ClaimRequest,
	ClaimOutcome as ClaimSettlement,
} from '@lovagevalve/claims';
import type {ServiceLevelRecord} from './service-level-records.js';
import type {GenerationLocation} from './location-table.js';
import type {CallResult} from './inputs.js';
import type {RefusalDetail} from './refusals.js';
import type {BackendAnnouncement} from './view.js';

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
			place: GenerationLocation;
	  }
	/** Tell the home entry of a change; no answer is awaited. */
	| {kind: 'update-home'; address: string; place: GenerationLocation}
	| {kind: 'forget-home'; address: string; place: GenerationLocation}
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
	| {kind: 'record'; record: ServiceLevelRecord}
	/** Everything is finished: the process may end. */
	| {kind: 'drained'};
