import {Map as ImmutableMap} from 'immutable';
import type {AdmissionState} from '@lovagevalve/admission';
import type {DispatchState} from '@lovagevalve/claims';
import type {GenerationState} from '@lovagevalve/generation';
import type {Quarantine} from './events.js';
import type {CallInput, GenerationInput} from './inputs.js';
import type {RefusalDetail} from './refusals.js';
import type {
	HomeAnswer,
	LocationTable,
	GenerationLocation,
} from './location-table.js';
import {NO_LEASE, type Lease} from './lease.js';
import type {EntryOptions} from './options.js';
import type {BackendView} from './view.js';

/** What a stream is waiting for. */
export type StreamPhase =
	/**
	 * The answers of its home entries; the first one listed decides which
	 * generation is kept.
	 */
	| {
			kind: 'registering';
			homes: readonly string[];
			answers: Readonly<Record<string, HomeAnswer | undefined>>;
	  }
	/** A slot on a backend server; waits in the admission queue. */
	| {kind: 'queued'; isResumed: boolean; excluded: readonly string[]}
	| {kind: 'running'};

/** A caller's stream and its generation. */
export type Stream = Readonly<{
	id: string;
	customer: string;
	input: GenerationInput;
	generation: string;
	model: string | undefined;
	priority: number;
	arrivedAt: number;
	/** Monotonic time by which the caller needs the whole answer. */
	deadlineAt: number | undefined;
	phase: StreamPhase;
	generationState: GenerationState | undefined;
	/** Backend server of the current attempt, which counts as in flight there. */
	backend:
		Readonly<{id: string; address: string; incarnation: number}> | undefined;
	/** Whether the caller has received any token of the answer. */
	hasDeliveredTokens: boolean;
	/** Whether the current attempt was started for an earlier stream. */
	isAdopted: boolean;
	/** Number of backend servers that died while running it. */
	deaths: number;
	/**
	 * Latest death of its backend server; must be acknowledged before the next
	 * placement.
	 */
	lastDeath:
		| Readonly<{
				backend: string;
				incarnation: number;
				since: number;
				/** Time after which it is placed without the acknowledgement. */
				until: number;
		  }>
		| undefined;
	/** Retry delay for the caller if the stream is refused. */
	retryAfterMs: number | undefined;
}>;

/** An attempt whose caller disconnected and may reconnect to any entry. */
export type AbandonedAttempt = Readonly<{
	generation: string;
	attempt: number;
	backend: Readonly<{id: string; address: string}>;
	/** Time at which the attempt is cancelled. */
	expiresAt: number;
}>;

/** What a call is waiting for. */
export type CallPhase =
	/** The control group's answer for its claim. */
	| {kind: 'claiming'}
	| {kind: 'connecting'; backend: string}
	/** Some bytes may have reached the backend server. */
	| {kind: 'dispatched'; backend: string};

/** A call of a plain service. */
export type Call = Readonly<{
	id: string;
	customer: string;
	input: CallInput;
	phase: CallPhase;
	/** Claim and dispatch state; only non-idempotent calls have one. */
	claimedDispatch: DispatchState | undefined;
	/** Number of the latest dispatch, starting at 1; 0 before the first. */
	dispatch: number;
	deadlineAt: number | undefined;
	/** Backend servers of earlier attempts. */
	excluded: readonly string[];
	/** Refusal to send once the control group has settled the claim as "not run". */
	refusal: RefusalDetail | undefined;
}>;

/** Stage of the entry's life cycle; decides whether it accepts new work. */
export type EntryPhase =
	| {kind: 'serving'}
	/**
	 * Being removed from address lists; still accepts work from callers with
	 * cached lists.
	 */
	| {kind: 'leaving'; since: number; isAcknowledged: boolean}
	/** Accepts no new work and finishes open requests. */
	| {kind: 'finishing'}
	| {kind: 'drained'};

/** State of an entry instance: bounded, immutable, rebuilt after a restart. */
export type EntryState = Readonly<{
	options: EntryOptions;
	phase: EntryPhase;
	lease: Lease;
	quarantine: Quarantine;
	view: BackendView;
	/** Admission queue of each engine service. */
	queues: ImmutableMap<string, AdmissionState>;
	locations: LocationTable;
	streams: ImmutableMap<string, Stream>;
	/** Attempts of disconnected callers, by generation. */
	abandonedAttempts: ImmutableMap<string, AbandonedAttempt>;
	calls: ImmutableMap<string, Call>;
	/** Time since which a service with queued work has had no backend server. */
	noBackendSince: ImmutableMap<string, number>;
	/** Time of the last removal of expired locations and announcements. */
	lastSweepAt: number;
}>;

/** Creates the state of an entry that has just started. */
export function createEntry(options: EntryOptions): EntryState {
	return {
		options,
		phase: {kind: 'serving'},
		lease: NO_LEASE,
		quarantine: {version: 0, suspects: [], held: [], convicted: []},
		view: ImmutableMap(),
		queues: ImmutableMap(),
		locations: ImmutableMap(),
		streams: ImmutableMap(),
		abandonedAttempts: ImmutableMap(),
		calls: ImmutableMap(),
		noBackendSince: ImmutableMap(),
		lastSweepAt: 0,
	};
}

/** Tells whether the entry no longer lists itself among entry addresses. */
export function isLeaving(state: EntryState): boolean {
	return state.phase.kind !== 'serving';
}

/** Creates the location record of a stream's generation. */
export function createLocation(
	state: EntryState,
	stream: Stream,
): GenerationLocation {
	return {
		customer: stream.customer,
		requestId: stream.input.requestId,
		digest: stream.input.digest,
		generation: stream.generation,
		attempt: stream.generationState?.attempt ?? 0,
		backend: stream.backend?.id ?? '',
		entry: state.options.id,
	};
}
