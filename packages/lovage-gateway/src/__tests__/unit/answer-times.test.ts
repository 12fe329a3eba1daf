import {describe, expect, it} from 'vitest';
import {createAnswerTimes} from '../../answer-times.js';

describe('times of answers', () => {
	it('says nothing about a route with few answers', () => {
		const times = createAnswerTimes();
		Array.from({length: 7}).forEach(() => {
			times.record('r', 100);
		});
		expect(times.readLongest('r')).toBeUndefined();
		times.record('r', 300);
		expect(times.readLongest('r')).toBe(300);
		expect(times.readLongest('other')).toBeUndefined();
	});

	it('forgets a long answer after a while', () => {
		const times = createAnswerTimes();
		times.record('r', 9000);
		Array.from({length: 31}).forEach(() => {
			times.record('r', 100);
		});
		expect(times.readLongest('r')).toBe(9000);
		times.record('r', 100);
		expect(times.readLongest('r')).toBe(100);
	});
});
