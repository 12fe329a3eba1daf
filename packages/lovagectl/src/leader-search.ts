import {createTransition, type Transition} from '@lovagevalve/core';
import type {Redirect} from '@lovagevalve/wire';

const MAX_REDIRECTS = 3;
const RETRY_PAUSE_MS = 200;

/** Search for the control instance that answers for the group. */
export type SearchState = Readonly<{
	/** Addresses that the operator gave. */
	addresses: readonly string[];
	/** Position of the next one to ask. */
	nextAddressIndex: number;
	/** Redirects followed since an address of the list was asked. */
	redirectCount: number;
	/** Monotonic time at which the search ends. */
	deadline: number;
	/** Why the last exchange gave no outcome. */
	lastFailure: string;
}>;

/** What the search hears. */
export type SearchEvent =
	| {kind: 'begin'; now: number; random: number}
	| {kind: 'redirected'; redirect: Redirect; now: number; random: number}
	| {kind: 'failed'; message: string; now: number; random: number};

/** What the search asks for. */
export type SearchEffect =
	/** Ask an address after a pause. */
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
		lastFailure: 'no control instance was asked',
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
		? 'no quorum of control instances answers'
		: 'no leader of the control group is known';
}

/**
 * Decides whom to ask next: the leader that an answer names, else the next
 * address, with a pause after each round through the list.
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
