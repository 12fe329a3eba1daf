import {createTransition, type Transition} from '@lovagevalve/core';
import {ALL_GUARDS, type GenerationGuards} from './guards.js';
import {NO_GAP_STATISTICS, type GapStatistics} from './gap-statistics.js';
import type {DetectionPolicy} from './policy.js';
import type {Attempt, FailureReason, GenerationEffect} from './types.js';

/** How a generation starts on this entry. */
export type GenerationStart =
	| {kind: 'new'}
	/** Another entry started it and delivered `offset` tokens to the caller. */
	| {
			kind: 'adopt';
			backend: string;
			attempt: Attempt;
			offset: number;
			/** Whether the host has the tokens that were delivered. */
			prefixAvailable: boolean;
			/**
			 * Lowest number for a new attempt; higher than any that the other entry
			 * may have used. Defaults to the number after the adopted attempt.
			 */
			nextAttempt?: Attempt;
	  };

/** Options of `createGeneration`. */
export type GenerationOptions = Readonly<{
	id: string;
	policy: DetectionPolicy;
	/** Maximum number of attempts after the first one. */
	retryLimit: number;
	start: GenerationStart;
	guards?: GenerationGuards;
}>;

/** Current phase of a generation. */
export type Phase =
	| {kind: 'placing'}
	| {
			kind: 'streaming';
			backend: string;
			connection: number;
			/** Time at which the current silence began. */
			silentSince: number;
	  }
	| {
			kind: 'probing';
			backend: string;
			/** The connection under suspicion; absent if it is lost. */
			connection?: number;
			/** Number of the latest probe. */
			probe: number;
			/** Number of probes sent in this phase. */
			probesSent: number;
			sentAt: number;
	  }
	| {kind: 'ended'; outcome: 'finished' | 'taken-over' | FailureReason};

/** A loss after which the caller has not received a new token yet. */
export type PendingLoss = Readonly<{attempt: Attempt; lastTokenAt: number}>;

/** State of one generation, of bounded size. */
export type GenerationState = Readonly<{
	id: string;
	policy: DetectionPolicy;
	retryLimit: number;
	guards: GenerationGuards;
	phase: Phase;
	attempt: Attempt;
	/** Lowest number for the next attempt. */
	nextAttempt: Attempt;
	/** Number of tokens delivered to the caller. */
	offset: number;
	/** Number of leading tokens that the host has stored. */
	held: number;
	/** Number of connections opened so far, which is also the last one's number. */
	connections: number;
	/** Number of probes sent so far, which is also the last one's number. */
	probes: number;
	/** Number of new attempts requested after the first one. */
	retries: number;
	/** Resumes in place since the last new token. */
	stalls: number;
	pace: GapStatistics;
	/** Whether the backend server accepted this attempt. */
	accepted: boolean;
	/** No connection was established, so the backend server can't have run the attempt. */
	isUnreached: boolean;
	/** Whether a new token of this attempt has arrived. */
	flowing: boolean;
	lastTokenAt: number;
	/** Whether the host has paused reading because the caller is slow. */
	blocked: boolean;
	loss: PendingLoss | undefined;
	/** Backend servers that lost or refused this generation, newest last. */
	excluded: readonly string[];
}>;

/** Transition of one generation. */
export type GenerationTransition = Transition<
	GenerationState,
	GenerationEffect
>;

/** Creates a generation and the first effects to run. */
export function createGeneration(
	options: GenerationOptions,
	now: number,
): GenerationTransition {
	const base: GenerationState = {
		id: options.id,
		policy: options.policy,
		retryLimit: options.retryLimit,
		guards: options.guards ?? ALL_GUARDS,
		phase: {kind: 'placing'},
		attempt: 0,
		nextAttempt: 1,
		offset: 0,
		held: 0,
		connections: 0,
		probes: 0,
		retries: 0,
		stalls: 0,
		pace: NO_GAP_STATISTICS,
		accepted: options.start.kind === 'adopt',
		isUnreached: false,
		flowing: false,
		lastTokenAt: now,
		blocked: false,
		loss: undefined,
		excluded: [],
	};
	return options.start.kind === 'new'
		? createTransition(base, [{kind: 'place', excluded: [], resumed: false}])
		: adoptGeneration(base, options.start, now);
}

function adoptGeneration(
	base: GenerationState,
	start: Extract<GenerationStart, {kind: 'adopt'}>,
	now: number,
): GenerationTransition {
	const {backend, attempt, offset} = start;
	const held = start.prefixAvailable ? offset : 0;
	const connection = 1;
	return createTransition<GenerationState, GenerationEffect>(
		{
			...base,
			phase: {kind: 'streaming', backend, connection, silentSince: now},
			attempt,
			nextAttempt: base.guards.freshAttempts ? (start.nextAttempt ?? 1) : 1,
			offset,
			held,
			connections: connection,
			loss: {attempt, lastTokenAt: now},
		},
		[{kind: 'resume', backend, attempt, connection, offset: held}],
	);
}
