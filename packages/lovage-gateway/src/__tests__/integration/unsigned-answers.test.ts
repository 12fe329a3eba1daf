import {describe, expect, it} from 'vitest';
import {
	createAnswer,
	createBroken,
	createStream,
	formatEvents,
	startFleet,
	STREAM,
} from './faulty-answers.js';
import {call, createCleanups} from './harness.js';

// A success that names the request and lacks what each backend server adds to its own
// passes for one, empty and whole.

const cleanups = createCleanups();

describe.each(['backend', 'peer'] as const)(
	'a success without a signature, of a %s',
	(via) => {
		const head = `${STREAM}Unsigned: 1\r\n`;
		const answers = [
			{bytes: `${head}\r\n`, end: 'end'} as const,
			createAnswer(head, formatEvents(2)),
			createStream(formatEvents(2)),
		].map((answer) => ({
			...answer,
			bytes: answer.bytes.replace(STREAM, head),
		}));

		it.each(answers)('is lost where it may run once: %j', async (answer) => {
			const {port, seen} = await startFleet(cleanups, [answer], via);
			expect(await call(port, '/once/1')).toMatchObject({status: 502});
			expect(await call(port, '/stream-once/1')).toMatchObject({status: 502});
			expect(seen).toHaveLength(2);
		});

		it.each(answers)('is left by a stream that goes on: %j', async (answer) => {
			const {port, seen} = await startFleet(
				cleanups,
				[createBroken(1), answer, createStream(formatEvents(2))],
				via,
			);
			const response = await call(port, '/stream/1');
			expect(response).toMatchObject({body: formatEvents(1, 2), isWhole: true});
			expect(seen).toEqual(['', '1', '1']);
		});
	},
);
