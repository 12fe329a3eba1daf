import {announcementSchema} from '@lovagevalve/wire';
import {describe, expect, it} from 'vitest';
import {exchangeCall} from '../../call-exchange.js';
import {cancelAttempt, probeAttempt} from '../../engine-exchange.js';
import {openEngineStream} from '../../engine-stream.js';

const REFUSED_BY_CLIENT = [
	'ftp://10.0.0.1',
	'http://10.0.0.1/path',
	'http://10.0.0.1:99999',
	'http://',
	'//10.0.0.1',
	'mailto:engine@example.org',
];

const announcement = {
	id: 'e-1',
	service: 'model',
	dataCentre: 'a',
	incarnation: 1,
	sequence: 1,
	state: 'serving',
	capacity: 4,
	load: {running: 0, waiting: 0},
};

// The HTTP client throws for such an address; behind an announcement that named one, the
// rejection that nothing handled ended the entry with all its streams.
describe.each(REFUSED_BY_CLIENT)('a backend server at %s', (address) => {
	it('is not taken into the list', () => {
		const parsed = announcementSchema.safeParse({...announcement, address});
		expect(parsed.success).toBe(false);
	});

	it('loses the stream that is sent to it, as unreached', async () => {
		const isUnreached = await new Promise<boolean>((resolve) => {
			openEngineStream(
				{
					kind: 'resume',
					address,
					generation: 'g',
					attempt: 1,
					offset: 0,
					maxTokens: 100,
				},
				{
					onOpen: () => undefined,
					onChunk: () => undefined,
					onEnd: () => undefined,
					onLost: resolve,
					onRefused: () => undefined,
				},
			);
		});
		expect(isUnreached).toBe(true);
	});

	it('gets no byte of a call', async () => {
		const outcome = await exchangeCall({
			address,
			body: {requestId: 'r', customer: 'c', operation: 'o', body: null},
			timeoutMs: 500,
			mayWrite: () => true,
		});
		expect(outcome).toEqual({kind: 'not-sent'});
	});
});

describe.each([
	'http://10.0.0.1:8080',
	'https://engine.example',
	'http://[::1]:80/',
])('a backend server at %s', (address) => {
	it('is taken into the list', () => {
		const parsed = announcementSchema.safeParse({...announcement, address});
		expect(parsed.success).toBe(true);
	});
});

// Peers name generations; one that no URL can hold ended the entry.
describe('a generation with half of a surrogate pair', () => {
	const attempt = {
		address: 'http://127.0.0.1:9',
		generation: '\uD800',
		attempt: 1,
	};

	it('is not found by a probe', async () => {
		const probed = await probeAttempt(attempt, 500);
		expect(probed.isErr()).toBe(true);
	});

	it('is cancelled in vain', async () => {
		await expect(cancelAttempt(attempt, 0)).resolves.toBeUndefined();
	});
});
