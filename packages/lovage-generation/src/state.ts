import {createTransition, type Transition} from '@lovagevalve/core';
import {ALL_GUARDS, type GenerationGuards} from './guards.js';
import {NO_GAP_STATISTICS, type GapStatistics} from './gap-statistics.js';
import type {DetectionPolicy} from './policy.js';
import type {Attempt, FailureReason, GenerationEffect} from './types.js';

/** How a generation begins at this host. */
export type GenerationStart =
	| {kind: 'new'}
	/** Another entry began it and delivered `offset` tokens to the caller. */
	| {
			kind: 'adopt';
			backend: string;
			attempt: Attempt;
			offset: number;
			/** Whether the host holds the delivered tokens. */
			prefixAvailable: boolean;
			/**
			 * Lowest number for a new attempt: above any that the other entry may
			 * have used. The attempt after the adopted one by default.
			 */
			nextAttempt?: Attempt;
	  };

/** Settings of one generation. */
export type GenerationOptions = Readonly<{
	id: string;
	policy: DetectionPolicy;
	/** Attempts after the first one at most. */
	retryLimit: number;
	start: GenerationStart;
	guards?: GenerationGuards;
}>;

/** What a generation is doing. */
export type Phase =
	| {kind: 'placing'}
	| {
			kind: 'streaming';
			backend: string;
			connection: number;
			/** Time of the last sign of life. */
			silentSince: number;
	  }
	| {
			kind: 'probing';
			backend: string;
			/** The silent connection, unless it is lost. */
			connection?: number;
			probe: number;
			probesSent: number;
			sentAt: number;
	  }
	| {kind: 'ended'; outcome: 'finished' | 'taken-over' | FailureReason};

/** A loss that the caller waits on. */
export type PendingLoss = Readonly<{attempt: Attempt; lastTokenAt: number}>;

/** State of one generation; its size is bounded. */
export type GenerationState = Readonly<{
	id: string;
	policy: DetectionPolicy;
	retryLimit: number;
	guards: GenerationGuards;
	phase: Phase;
	attempt: Attempt;
	/** Lowest number for the next attempt. */
	nextAttempt: Attempt;
	/** Tokens delivered to the caller. */
	offset: number;
	/** Leading tokens that the host holds. */
	held: number;
	connections: number;
	probes: number;
	retries: number;
	/** Resumes in place since the last new token. */
	stalls: number;
	pace: GapStatistics;
	/** Whether the backend server accepted this attempt. */
	accepted: boolean;
	/** No connection of this attempt was made, so the backend server can't run it. */
	isUnreached: boolean;
	/** Whether a token of this attempt came. */
	flowing: boolean;
	lastTokenAt: number;
	/** Whether the host reads nothing because the caller is slow. */
	blocked: boolean;
	loss: PendingLoss | undefined;
	/** Backend servers that lost or refused it, newest last. */
	excluded: readonly string[];
}>;

/** Transition of one generation. */
export type GenerationTransition = Transition<
	GenerationState,
	GenerationEffect
>;

/** Begins a generation; the effects say what to do first. */
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
