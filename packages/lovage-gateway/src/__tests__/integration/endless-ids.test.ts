import {describe, expect, it} from 'vitest';
import {
	createStream,
	formatChunk,
	formatEvents,
	startFleet,
	type Answer,
	CHUNKED,
} from './faulty-answers.js';
import {call, createCleanups} from './harness.js';

// The id of an event goes into the next request, the caller's next one and log lines. One
// that doesn't fit into a head makes each sound server refuse the request that carries it.

const cleanups = createCleanups();
const SOUND = createStream(formatEvents(1, 2));

/** The first event, its id padded with zeros, and a reset. */
function createPadded(digits: number): Answer {
	const event = `id: ${'1'.padStart(digits, '0')}\ndata: piece\n\n`;
	return {bytes: CHUNKED + formatChunk(event), end: 'reset'};
}

describe.each(['backend', 'peer'] as const)('an id of a %s', (via) => {
	it.each([21, 20_000])(
		'of %i digits does not make the next servers fail',
		async (digits) => {
			const answers = [createPadded(digits), SOUND, SOUND, SOUND];
			const {port, seen} = await startFleet(cleanups, answers, via);
			expect(await call(port, '/stream/1')).toMatchObject({
				body: formatEvents(1, 2),
				isWhole: true,
			});
			expect(seen).toEqual(['', '']);
		},
	);

	it('of 20 digits is one of the stream', async () => {
		const answers = [createPadded(20), SOUND];
		const {port, seen} = await startFleet(cleanups, answers, via);
		const {body, isWhole} = await call(port, '/stream/1');
		expect(isWhole).toBe(true);
		expect(body.endsWith(formatEvents(2))).toBe(true);
		expect(seen).toEqual(['', '1'.padStart(20, '0')]);
	});
});

describe('a caller', () => {
	it.each(['9'.repeat(21), '9'.repeat(6000), 'x'.repeat(6000)])(
		'whose last id no stream has is refused, and no server gets it',
		async (lastEventId) => {
			const {port, seen} = await startFleet(cleanups, [SOUND]);
			const headers = {'Last-Event-Id': lastEventId};
			expect(await call(port, '/stream/1', headers)).toMatchObject({
				status: 400,
			});
			expect(seen).toEqual([]);
		},
	);

	it('whose last id is as long as any gets the rest', async () => {
		const {port, seen} = await startFleet(cleanups, [SOUND]);
		const lastEventId = '1'.padStart(20, '0');
		const headers = {'Last-Event-Id': lastEventId};
		expect(await call(port, '/stream/1', headers)).toMatchObject({
			status: 200,
			body: formatEvents(2),
			isWhole: true,
		});
		expect(seen).toEqual([lastEventId]);
	});
});
