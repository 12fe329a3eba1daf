import type {ClaimAnswer} from '@lovagevalve/claims';
import type {GenerationEvent} from '@lovagevalve/generation';
import type {HomeAnswer, GenerationLocation} from './location-table.js';
import type {CallInput, CallResult, GenerationInput} from './inputs.js';
import type {LeaseGrant} from './lease.js';
import type {BackendAnnouncement} from './view.js';

/** Answer to a claim request; `unavailable` when no quorum answered in time. */
export type ClaimResult = ClaimAnswer | {kind: 'unavailable'};

/** Requests that are suspected or known to crash backend servers. */
export type Quarantine = Readonly<{
	version: number;
	/** Kept on separate backend servers; in the same order at each entry. */
	suspects: readonly string[];
	/** Suspect that is kept apart from all others first. */
	leading?: string;
	/** Backend servers that died recently. */
	dead?: ReadonlyArray<Readonly<{backend: string; incarnation: number}>>;
	/** Not placed until the control group has decided on the latest death. */
	held: readonly string[];
	/** Known to crash backend servers; refused immediately. */
	convicted: readonly string[];
}>;

/**
 * Events of an entry instance. `now` is monotonic milliseconds, `random` is
 * uniform in [0, 1). The host chooses the ids of streams and calls.
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
	/** A home entry of the stream's request answered; `undefined` if it failed to. */
	| {
			kind: 'home-answered';
			stream: string;
			/** Id of the home entry. */
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
	/** The caller disconnected before it had the whole answer. */
	| {kind: 'caller-left'; stream: string; now: number; random: number}
	/** Another entry now serves the caller of this generation. */
	| {kind: 'generation-released'; generation: string}
	/** Another entry registers a location at this entry, one of its home entries. */
	| {kind: 'place-registered'; place: GenerationLocation; now: number}
	/** A generation ended without a whole answer, so its location is removed. */
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
	/** The connection is open and no byte has been written yet. */
	| {
			kind: 'call-connected';
			call: string;
			dispatch: number;
			now: number;
			random: number;
	  }
	/** The exchange failed before any byte was written. */
	| {
			kind: 'call-not-sent';
			call: string;
			dispatch: number;
			now: number;
			random: number;
	  }
	/** The exchange failed after bytes may have reached the backend server. */
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
			/**
			 * Whether the backend server sent it itself; `false` if an entry
			 * relayed it.
			 */
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
	/** The control group has received the reports of these deaths. */
	| {
			kind: 'deaths-acknowledged';
			deaths: ReadonlyArray<Readonly<{backend: string; incarnation: number}>>;
			quarantine: Quarantine;
			now: number;
			random: number;
	  }
	| {kind: 'drain-requested'; now: number}
	| {kind: 'ticked'; now: number; random: number};
