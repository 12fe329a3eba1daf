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
	/**
	 * Refuse a stream: by status before the first token, else by an event in
	 * the stream.
	 */
	| {kind: 'refuse-stream'; stream: string; refusal: RefusalDetail}
	/** Register a location at a home entry and ask for the one it has stored. */
	| {
			kind: 'register-home';
			stream: string;
			home: string;
			/** Address of the home entry. */
			address: string;
			place: GenerationLocation;
	  }
	/** Update the location at a home entry; no answer is expected. */
	| {kind: 'update-home'; address: string; place: GenerationLocation}
	| {kind: 'forget-home'; address: string; place: GenerationLocation}
	/** Tell the entry that served the caller before not to cancel the attempt. */
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
	/** Cancel an attempt; retry until it is answered or `giveUpAfterMs` has passed. */
	| {
			kind: 'cancel-attempt';
			address: string;
			generation: string;
			attempt: number;
			giveUpAfterMs: number;
	  }
	/** Send the last `count` tokens of the received chunk to the caller. */
	| {kind: 'deliver-tokens'; stream: string; offset: number; count: number}
	/** Store tokens of the received chunk as prefix without sending them. */
	| {kind: 'retain-tokens'; stream: string; offset: number; count: number}
	| {kind: 'finish-stream'; stream: string; total: number}
	| {kind: 'open-claim'; call: string; request: ClaimRequest}
	/** Settle a request as "not run" when this entry refuses it without a claim. */
	| {kind: 'refuse-claim'; call: string; request: ClaimRequest}
	/** Report a claim's final outcome; retry until the control group answers. */
	| {
			kind: 'settle-claim';
			call: string;
			customer: string;
			requestId: string;
			claim: string;
			outcome: ClaimSettlement;
	  }
	/** Connect to a backend server without writing; `write-call` follows. */
	| {
			kind: 'connect-call';
			call: string;
			dispatch: number;
			customer: string;
			address: string;
			timeoutMs: number;
	  }
	/** Write the request in the same event-loop turn, or not at all. */
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
	/** A suspect request completed without a crash. */
	| {kind: 'report-completed'; digest: string}
	/** Renew the lease now. */
	| {kind: 'renew-lease'}
	/** Record a measurement for the service-level report. */
	| {kind: 'record'; record: ServiceLevelRecord}
	/** All work has finished; the process may exit. */
	| {kind: 'drained'};
