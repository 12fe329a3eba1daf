import {createTransition, type Transition} from '@lovagevalve/core';
import type {Redirect} from '@lovagevalve/wire';

const MAX_REDIRECTS = 3;
const RETRY_PAUSE_MS = 200;

/** State of the search for the control group's leader. */
export type SearchState = Readonly<{
	/** Addresses given by the operator. */
	addresses: readonly string[];
	/** Index of the next address to try; wraps around at the end of the list. */
	nextAddressIndex: number;
	/** Redirects followed since an address of the list was tried. */
	redirectCount: number;
	/** Monotonic time in milliseconds at which the search ends. */
	deadline: number;
	/** Why the last attempt failed. */
	lastFailure: string;
}>;

/** Inputs of the search. */
export type SearchEvent =
	| {kind: 'begin'; now: number; random: number}
	| {kind: 'redirected'; redirect: Redirect; now: number; random: number}
	| {kind: 'failed'; message: string; now: number; random: number};

/** Actions requested by the search. */
export type SearchEffect =
	/** Call an address after a pause. */
	{kind: 'ask'; address: string; pauseMs: number} | {kind: 'give-up'};

/** Starts a search that ends at `deadline`. */
export function createSearch(
	addresses: readonly string[],
	deadline: number,
): SearchState {
	return {
		addresses,
		nextAddressIndex: 0,
		redirectCount: 0,
		deadline,
		lastFailure: 'no control instance was tried',
	};
}

function askNext(
	state: SearchState,
	random: number,
): Transition<SearchState, SearchEffect> {
	const {addresses, nextAddressIndex} = state;
	const isNewRound =
		nextAddressIndex > 0 && nextAddressIndex % addresses.length === 0;
	const pauseMs = isNewRound ? RETRY_PAUSE_MS * (0.5 + random) : 0;
	const address = addresses[nextAddressIndex % addresses.length]!;
	return createTransition(
		{...state, nextAddressIndex: nextAddressIndex + 1, redirectCount: 0},
		[{kind: 'ask', address, pauseMs}],
	);
}

function followRedirect(
	state: SearchState,
	redirect: Redirect,
	random: number,
): Transition<SearchState, SearchEffect> {
	const leader = redirect.kind === 'not-leader' ? redirect.leader : undefined;
	if (leader === undefined || state.redirectCount >= MAX_REDIRECTS) {
		return askNext(state, random);
	}

	return createTransition({...state, redirectCount: state.redirectCount + 1}, [
		{kind: 'ask', address: leader, pauseMs: 0},
	]);
}

function describeRedirect(redirect: Redirect): string {
	return redirect.kind === 'unavailable'
		? 'no quorum of control instances is reachable'
		: 'the control group has no known leader';
}

/**
 * Decides which address to try next: the leader named by a redirect, otherwise
 * the next address of the list, with a randomised pause after each full round.
 */
export function stepSearch(
	state: SearchState,
	event: SearchEvent,
): Transition<SearchState, SearchEffect> {
	const updated =
		event.kind === 'begin'
			? state
			: {
					...state,
					lastFailure:
						event.kind === 'failed'
							? event.message
							: describeRedirect(event.redirect),
				};
	if (event.now >= state.deadline) {
		return createTransition(updated, [{kind: 'give-up'}]);
	}

	return event.kind === 'redirected'
		? followRedirect(updated, event.redirect, event.random)
		: askNext(updated, event.random);
}
