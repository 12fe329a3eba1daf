import {err, ok, type Result} from 'neverthrow';
import {expect, test} from 'vitest';
import {createSearch} from '../../leader-search.js';
import {decideNextAttempt, type RolloutAnswer} from '../../rollout-retry.js';

const SEARCH = {...createSearch(['a', 'b'], 5000), nextAddressIndex: 1};
type Attempted = Result<RolloutAnswer, string>;

const TIMES = {now: 0, random: 0.5};

test.each<Attempted>([ok('unavailable'), err('socket closed')])(
	'asks the next instance after %o, which may hide a committed order',
	(result) => {
		expect(decideNextAttempt(SEARCH, {result, ...TIMES})).toMatchObject({
			kind: 'ask',
			address: 'b',
			pauseMs: 0,
			timeoutMs: 1000,
			search: {nextAddressIndex: 2},
		});
	},
);

test.each(['acknowledged', 'conflicting', {kind: 'none'}] as const)(
	'does not send again what the group has decided: %o',
	(answer) => {
		const attempt = {result: ok(answer), ...TIMES};
		expect(decideNextAttempt(SEARCH, attempt)).toEqual({kind: 'done', answer});
	},
);

test('no attempt outlasts the deadline, also after the pause of a round', () => {
	const search = {...SEARCH, nextAddressIndex: 2};
	const result = err('timeout');
	const late = {result, now: 4700.25, random: 0.5};
	expect(decideNextAttempt(search, late)).toMatchObject({
		pauseMs: 200,
		timeoutMs: 100,
	});
	expect(decideNextAttempt(search, {...late, now: 4800})).toEqual({
		kind: 'give-up',
		reason: 'timeout',
	});
});
