import {createProblem} from '@lovagevalve/wire';
import {describe, expect, it} from 'vitest';
import {createCallerStream} from '../../caller-stream.js';

const problem = createProblem('overloaded', 'Full.', {retryAfterMs: 1500});

describe('createCallerStream', () => {
	it('refuses with an HTTP status before the first byte', async () => {
		const stream = createCallerStream(() => undefined);
		stream.refuse(problem);
		const res = await stream.response;
		expect(res.status).toBe(503);
		expect(res.headers.get('retry-after')).toBe('2');
		expect(await res.json()).toMatchObject({retryAfterMs: 1500});
	});

	it('refuses with a problem event after the first token', async () => {
		const stream = createCallerStream(() => undefined);
		stream.sendTokens('cursor', {offset: 0, tokens: ['a']});
		stream.refuse(problem);
		const res = await stream.response;
		const text = await res.text();
		expect(res.status).toBe(200);
		expect(text).toContain('id: cursor\nevent: tokens\n');
		expect(text).toContain('event: problem\n');
	});

	it('disconnects a caller that does not read', () => {
		let left = 0;
		const stream = createCallerStream(() => {
			left += 1;
		});
		const tokens = ['x'.repeat(300_000)];
		Array.from({length: 8}).forEach((_, offset) => {
			stream.sendTokens('cursor', {offset, tokens});
		});
		expect(left).toBe(1);
	});
});
