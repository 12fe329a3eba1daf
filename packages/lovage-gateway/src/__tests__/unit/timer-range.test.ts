import {expect, it} from 'vitest';
import {toTimerMs} from '../../timer-range.js';

it.each([
	[0, 0],
	[15_000, 15_000],
	[1.5, 1],
	[-1, 0],
	[-1e300, 0],
	[2 ** 31, 2 ** 31 - 1],
	[1e300, 2 ** 31 - 1],
	[Number.POSITIVE_INFINITY, 2 ** 31 - 1],
	[Number.NaN, 0],
])('a timer takes %d as %d', (value, timerMs) => {
	expect(toTimerMs(value)).toBe(timerMs);
});
