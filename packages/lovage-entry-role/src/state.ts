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
	/** The answers of its homes, the deciding one first. */
	| {
			kind: 'registering';
			homes: readonly string[];
			answers: Readonly<Record<string, HomeAnswer | undefined>>;
	  }
	/** Its turn in the queue. */
	| {kind: 'queued'; isResumed: boolean; excluded: readonly string[]}
	| {kind: 'running'};

/** One caller's stream and its generation. */
export type Stream = Readonly<{
	id: string;
	customer: string;
	input: GenerationInput;
	generation: string;
	model: string | undefined;
	priority: number;
	arrivedAt: number;
	/** Monotonic time until which the answer is of use. */
	deadlineAt: number | undefined;
	phase: StreamPhase;
	generationState: GenerationState | undefined;
	/** Backend server of the present attempt, counted in its in-flight. */
	backend:
		Readonly<{id: string; address: string; incarnation: number}> | undefined;
	hasDeliveredTokens: boolean;
	/** Whether its attempt was begun for an earlier stream. */
	isAdopted: boolean;
	/** Backend servers that died while they ran it. */
	deaths: number;
	/** Death whose report must be acknowledged before it is placed again. */
	lastDeath:
		| Readonly<{
				backend: string;
				incarnation: number;
				since: number;
				/** Time after which it goes on without. */
				until: number;
		  }>
		| undefined;
	/** When a refused caller should come back. */
	retryAfterMs: number | undefined;
}>;

/** An attempt whose caller left and may come back, here or elsewhere. */
export type AbandonedAttempt = Readonly<{
	generation: string;
	attempt: number;
	backend: Readonly<{id: string; address: string}>;
	/** Time at which the attempt is cancelled. */
	expiresAt: number;
}>;

/** What a call is waiting for. */
export type CallPhase =
	/** The control group's answer. */
	| {kind: 'claiming'}
	| {kind: 'connecting'; backend: string}
	/** Bytes may have been handed to the backend server. */
	| {kind: 'dispatched'; backend: string};

/** One call of a plain service. */
export type Call = Readonly<{
	id: string;
	customer: string;
	input: CallInput;
	phase: CallPhase;
	/** Claim and dispatch of a non-idempotent call. */
	claimedDispatch: DispatchState | undefined;
	/** Number of the latest dispatch; counts from 1. */
	dispatch: number;
	deadlineAt: number | undefined;
	excluded: readonly string[];
	/** Why the entry gives the call up, while "not run" is being settled. */
	refusal: RefusalDetail | undefined;
}>;

/** Whether the entry takes new work. */
export type EntryPhase =
	| {kind: 'serving'}
	/** No longer named; takes what callers with older answers send. */
	| {kind: 'leaving'; since: number; isAcknowledged: boolean}
	/** Takes nothing new and finishes what it holds. */
	| {kind: 'finishing'}
	| {kind: 'drained'};

/** State of an entry instance: bounded, immutable, rebuilt after a restart. */
export type EntryState = Readonly<{
	options: EntryOptions;
	phase: EntryPhase;
	lease: Lease;
	quarantine: Quarantine;
	view: BackendView;
	/** Waiting work of each engine service. */
	queues: ImmutableMap<string, AdmissionState>;
	locations: LocationTable;
	streams: ImmutableMap<string, Stream>;
	abandonedAttempts: ImmutableMap<string, AbandonedAttempt>;
	calls: ImmutableMap<string, Call>;
	/** Since when services with waiting work have no backend server. */
	noBackendSince: ImmutableMap<string, number>;
	/** When expired places and announcements were dropped last. */
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

/** Whether the entry has left the answers that name addresses. */
export function isLeaving(state: EntryState): boolean {
	return state.phase.kind !== 'serving';
}

/** Describes where a stream's generation lives. */
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
