import type {ClaimAnswer} from '@lovagevalve/claims';
import type {GenerationEvent} from '@lovagevalve/generation';
import type {HomeAnswer, GenerationLocation} from './location-table.js';
import type {CallInput, CallResult, GenerationInput} from './inputs.js';
import type {LeaseGrant} from './lease.js';
import type {BackendAnnouncement} from './view.js';

/** Answer for a claim; `unavailable` when no quorum answered in time. */
export type ClaimResult = ClaimAnswer | {kind: 'unavailable'};

/** Suspected and convicted requests. */
export type Quarantine = Readonly<{
	version: number;
	/** To be kept apart from each other, in an order that entries share. */
	suspects: readonly string[];
	/** Suspect to be kept apart from all others first. */
	leading?: string;
	/** Backend servers that died lately. */
	dead?: ReadonlyArray<Readonly<{backend: string; incarnation: number}>>;
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
	| {kind: 'place-registered'; place: GenerationLocation; now: number}
	/** A generation ended without a whole answer: its place is forgotten. */
	| {kind: 'place-forgotten'; place: GenerationLocation}
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
			answer: ClaimResult;
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
