import {expect, test} from 'vitest';
import {
	createSearch,
	stepSearch,
	type SearchEffect,
	type SearchEvent,
	type SearchState,
} from '../../leader-search.js';

const TIMES = {now: 0, random: 0.5};
const BEGIN: SearchEvent = {kind: 'begin', ...TIMES};
const FAILED: SearchEvent = {kind: 'failed', message: 'refused', ...TIMES};

function redirect(leader?: string): SearchEvent {
	return {kind: 'redirected', redirect: {kind: 'not-leader', leader}, ...TIMES};
}

function runSearch(events: readonly SearchEvent[]): {
	state: SearchState;
	effects: readonly SearchEffect[];
} {
	return events.reduce<{state: SearchState; effects: readonly SearchEffect[]}>(
		({state, effects}, event) => {
			const step = stepSearch(state, event);
			return {state: step.state, effects: [...effects, ...step.effects]};
		},
		{state: createSearch(['a', 'b'], 100), effects: []},
	);
}

test('follows a redirect to the leader', () => {
	expect(runSearch([BEGIN, redirect('c')]).effects).toEqual([
		{kind: 'ask', address: 'a', pauseMs: 0},
		{kind: 'ask', address: 'c', pauseMs: 0},
	]);
});

test('pauses after each full round of the address list', () => {
	expect(runSearch([BEGIN, FAILED, redirect(), FAILED]).effects).toEqual([
		{kind: 'ask', address: 'a', pauseMs: 0},
		{kind: 'ask', address: 'b', pauseMs: 0},
		{kind: 'ask', address: 'a', pauseMs: 200},
		{kind: 'ask', address: 'b', pauseMs: 0},
	]);
});

test('stops following redirects after three and tries the next address', () => {
	const redirectLoop = Array.from({length: 4}, () => redirect('c'));
	const {effects} = runSearch([BEGIN, ...redirectLoop]);
	expect(effects.at(-1)).toEqual({kind: 'ask', address: 'b', pauseMs: 0});
});

test('gives up at the deadline and keeps the last failure', () => {
	const {state, effects} = runSearch([BEGIN, {...FAILED, now: 100}]);
	expect(effects.at(-1)).toEqual({kind: 'give-up'});
	expect(state.lastFailure).toBe('refused');
});
