import {describe, expect, it} from 'vitest';
import {createAnswerTimes} from '../../answer-times.js';

function createTimes() {
	let now = 0;
	const times = createAnswerTimes(() => now);
	return {
		...times,
		recordMany(count: number, tookMs: number) {
			Array.from({length: count}).forEach(() => {
				times.record('r', tookMs);
			});
		},
		pass(ms: number) {
			now += ms;
		},
	};
}

describe('times of answers', () => {
	it('says nothing about a route with few answers', () => {
		const times = createTimes();
		times.recordMany(15, 100);
		expect(times.readLongest('r')).toBeUndefined();
		times.record('r', 300);
		expect(times.readLongest('r')).toBe(300);
		expect(times.readLongest('other')).toBeUndefined();
	});

	// An entry that is young, or was busy with short answers, took a long one.
	it('goes by a request under way that takes longer than all answers', () => {
		const times = createTimes();
		const end = times.begin('r');
		times.recordMany(20, 100);
		times.pass(2000);
		expect(times.readLongest('r')).toBe(2000);
		end();
		expect(times.readLongest('r')).toBe(100);
	});

	it('remembers a long answer among many short ones, and forgets it at last', () => {
		const times = createTimes();
		times.record('r', 9000);
		times.recordMany(255, 100);
		expect(times.readLongest('r')).toBe(9000);
		times.record('r', 100);
		expect(times.readLongest('r')).toBe(100);
	});
});
