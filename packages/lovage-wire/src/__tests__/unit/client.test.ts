import {describe, expect, it} from 'vitest';
import {callRpc} from '../../client.js';

describe('callRpc', () => {
	it('takes what is left of a deadline, which is rarely whole', async () => {
		const answer = await callRpc(async () => 'done', 651.823_177);
		expect(answer._unsafeUnwrap()).toBe('done');
	});

	it('fails at the deadline instead of waiting on a silent connection', async () => {
		const answer = await callRpc(
			async (signal) =>
				new Promise<never>((_resolve, reject) => {
					signal.addEventListener('abort', () => {
						reject(new Error('aborted'));
					});
				}),
			0.5,
		);
		expect(answer._unsafeUnwrapErr().kind).toBe('rpc-failed');
	});
});
