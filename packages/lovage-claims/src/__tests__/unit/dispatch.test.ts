import {describe, expect, test} from 'vitest';
import {createDispatch, type DispatchEvent, stepDispatch} from '../../index.js';

const request = {
	customer: 'label',
	requestId: 'grant-1',
	attempt: 1,
	digest: 'body-1',
	entry: 'entry-1',
	incarnation: 'a',
	copy: 'x',
};
const granted: DispatchEvent = {
	kind: 'claim-answered',
	answer: {kind: 'granted', claim: 'c1', dispatchWithinMs: 2000},
};
const notRun: DispatchEvent = {
	kind: 'claim-answered',
	answer: {kind: 'not-run', attempt: 1},
};

function run(...events: readonly DispatchEvent[]) {
	let state = createDispatch(request);
	return events.flatMap((event) => {
		const transition = stepDispatch(state, event);
		state = transition.state;
		return transition.effects;
	});
}

const runKinds = (...events: readonly DispatchEvent[]) =>
	run(...events).map(({kind}) => kind);

describe('dispatch', () => {
	test('writes the request only after the grant', () => {
		expect(runKinds({kind: 'start', now: 0})).toEqual(['open-claim']);
		expect(
			runKinds({kind: 'start', now: 0}, granted, {
				kind: 'write-ready',
				now: 1999,
			}),
		).toEqual(['open-claim', 'connect', 'write']);
	});

	test('settles "not run" instead of writing if the grant expired during a pause', () => {
		const late = [
			{kind: 'start', now: 0} as const,
			granted,
			{kind: 'write-ready', now: 2000} as const,
		];
		expect(run(...late).at(-1)).toEqual({
			kind: 'settle-claim',
			claim: 'c1',
			outcome: {kind: 'not-run'},
		});
		expect(run(...late, notRun).at(-1)).toEqual({
			kind: 'reply',
			reply: {kind: 'not-run', attempt: 1},
		});
		expect(run(...late, {kind: 'claim-failed'}).at(-1)).toEqual({
			kind: 'reply',
			reply: {kind: 'unsettled'},
		});
	});

	test('refuses the claim when the control group did not answer', () => {
		const events = [{kind: 'start', now: 0}, {kind: 'claim-failed'}] as const;
		expect(runKinds(...events)).toEqual(['open-claim', 'refuse-claim']);
		expect(runKinds(...events, granted, {kind: 'write-ready', now: 1})).toEqual(
			['open-claim', 'refuse-claim', 'reply'],
		);
	});

	test('reports a lost connection as unknown and never writes again', () => {
		const effects = runKinds(
			{kind: 'start', now: 0},
			granted,
			{kind: 'write-ready', now: 1},
			{kind: 'call-lost'},
			{kind: 'write-ready', now: 2},
			{kind: 'withdraw'},
		);
		expect(effects.slice(2)).toEqual(['write', 'settle-claim', 'reply']);
	});

	test('withdraws only before the first byte is written', () => {
		const start = {kind: 'start', now: 0} as const;
		const withdraw = {kind: 'withdraw'} as const;
		expect(runKinds(withdraw)).toEqual(['refuse-claim']);
		expect(runKinds(start, granted, withdraw).at(-1)).toBe('settle-claim');
		const write = {kind: 'write-ready', now: 1} as const;
		expect(runKinds(start, granted, write, withdraw).at(-1)).toBe('write');
	});
});
