import {describe, expect, it} from 'vitest';
import {
	createAnswer,
	createBroken,
	createHead,
	createStream,
	formatChunk,
	formatEvents,
	OK,
	OPEN_END,
	STREAM,
} from './faulty-answers.js';
import {createCleanups} from './harness.js';
import {startScriptedFleet, type ScriptedAnswer} from './scripted-backends.js';
import {callAll, type CallerWay, type Received} from './scripted-calls.js';

// A backend server closes in the middle of its answer's head, and the caller gets a
// success that looks whole.

const cleanups = createCleanups();

/** An answer that is cut behind each of its bytes. */
type CutAnswer = Readonly<{
	bytes: string;
	status: number;
	body: string;
	/** Without a length, a proper end is the end of the body. */
	endsWithConnection: boolean;
}>;

/** How a caller's request reaches the backend server. */
type Way = CallerWay &
	Readonly<{
		/** Prefix of the paths; each cut has a path of its own. */
		prefix: string;
		via?: 'backend' | 'peer';
		/** Answer that comes before the one that is cut. */
		before?: ScriptedAnswer;
		/** Answer that comes behind the one that is cut, if that is not whole. */
		behind?: ScriptedAnswer;
	}>;

const BODY = '0123456789';
const HTTP_10 = OK.replace('1.1', '1.0');
const HINTS = 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n';
const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n';
const WITH_LENGTH = `Content-Length: ${BODY.length}\r\n\r\n${BODY}`;
const IN_CHUNKS = `Transfer-Encoding: chunked\r\n\r\n${formatChunk(BODY)}0\r\n\r\n`;
const EVENTS = formatEvents(1);
/** The end arrives with the last bytes, or behind them. */
const ENDS: ReadonlyArray<Omit<ScriptedAnswer, 'bytes'>> = [
	{end: 'end', endDelayMs: 0},
	{end: 'reset', endDelayMs: 0},
	{end: 'reset', endDelayMs: 5},
];

function plain(
	bytes: string,
	options: Partial<Omit<CutAnswer, 'bytes'>> = {},
): CutAnswer {
	return {
		bytes,
		status: 200,
		body: BODY,
		endsWithConnection: false,
		...options,
	};
}

const UNTIL_END = plain(`${OK}\r\n${BODY}`, {endsWithConnection: true});
const WITH_HINTS = plain(CONTINUE + HINTS + OK + WITH_LENGTH);
const STREAM_UNTIL_END = plain(OPEN_END + EVENTS, {
	body: EVENTS,
	endsWithConnection: true,
});

const PLAIN: ReadonlyArray<readonly [name: string, answer: CutAnswer]> = [
	['with a length', plain(OK + WITH_LENGTH)],
	['in chunks', plain(OK + IN_CHUNKS)],
	['until its end', UNTIL_END],
	['behind 1xx', WITH_HINTS],
	[
		'behind 1xx, until its end',
		plain(`${CONTINUE + HINTS + OK}\r\n${BODY}`, {endsWithConnection: true}),
	],
	['over HTTP/1.0, with a length', plain(HTTP_10 + WITH_LENGTH)],
	[
		'over HTTP/1.0, until its end',
		plain(`${HTTP_10}\r\n${BODY}`, {endsWithConnection: true}),
	],
	['without a body', plain(`${createHead(204)}\r\n`, {status: 204, body: ''})],
	['not modified', plain(`${createHead(304)}\r\n`, {status: 304, body: ''})],
];

const STREAMS: ReadonlyArray<readonly [name: string, answer: CutAnswer]> = [
	['in chunks', plain(createStream(EVENTS).bytes, {body: EVENTS})],
	['with a length', plain(createAnswer(STREAM, EVENTS).bytes, {body: EVENTS})],
	['until its end', STREAM_UNTIL_END],
	[
		'behind 1xx',
		plain(CONTINUE + HINTS + createStream(EVENTS).bytes, {body: EVENTS}),
	],
];

const WAYS: ReadonlyArray<readonly [name: string, way: Omit<Way, 'prefix'>]> = [
	['on a kept connection', {isKept: true}],
	['through another entry', {via: 'peer'}],
	['in a drain', {isKept: true, isDraining: true}],
	['over HTTP/1.0', {isOld: true}],
];

/** Index behind the head of the last answer. */
function findHeadEnd(bytes: string): number {
	return bytes.indexOf('\r\n\r\n', bytes.lastIndexOf('HTTP/1.')) + 4;
}

/** The body of the answer if it is whole, once this much was written. */
function findWholeBody(
	{bytes, body, endsWithConnection}: CutAnswer,
	cut: string,
	end: ScriptedAnswer['end'],
): string | undefined {
	const headEnd = findHeadEnd(bytes);
	if (endsWithConnection) {
		const isWhole = cut.length >= headEnd && end === 'end';
		return isWhole ? cut.slice(headEnd) : undefined;
	}

	return cut.length === bytes.length ? body : undefined;
}

/** An answer cut behind one of its bytes, and what the caller got. */
type CutResult = Readonly<{
	label: string;
	cut: string;
	whole: string | undefined;
	seen: readonly string[];
	received: Received;
}>;

/** Cuts an answer behind each of its bytes, in each way. */
async function cutEverywhere(
	answer: CutAnswer,
	way: Way,
): Promise<readonly CutResult[]> {
	const {before, behind, via = 'backend', prefix} = way;
	const cuts = ENDS.flatMap((end) =>
		Array.from({length: answer.bytes.length + 1}, (_, i) => ({
			...end,
			bytes: answer.bytes.slice(0, i),
		})),
	);
	const paths = cuts.map((_, i) => `${prefix}${i}`);
	const fleet = await startScriptedFleet(
		cleanups,
		Object.fromEntries(
			cuts.map((cut, i) => [
				paths[i]!,
				[before, cut, behind].filter((part) => part !== undefined),
			]),
		),
		via,
	);
	const received = await callAll(cleanups, fleet, way, paths);
	return cuts.map(({bytes, end, endDelayMs}, i) => ({
		label: `${JSON.stringify(bytes)}, ${end} after ${endDelayMs} ms`,
		cut: bytes,
		whole: findWholeBody(answer, bytes, end),
		seen: fleet.readSeen(paths[i]!),
		received: received[i]!,
	}));
}

/** A 304 lets the caller use what it has, as a success does. */
function looksSuccessful({status, isWhole}: Received): boolean {
	return status >= 200 && status < 400 && isWhole;
}

async function expectNoFalseSuccess(
	answer: CutAnswer,
	way: Way,
): Promise<void> {
	const results = await cutEverywhere(answer, way);
	results.forEach(({label, cut, whole, seen, received}) => {
		expect(seen, label).toHaveLength(1);
		if (looksSuccessful(received)) {
			const {status} = answer;
			expect(received, label).toMatchObject({status, body: whole});
		} else if (cut.length < findHeadEnd(answer.bytes)) {
			expect(received, label).toMatchObject({status: 502, isWhole: true});
		}
	});
	const last = results.findLast(({cut}) => cut === answer.bytes && cut !== '');
	expect(results.some(({received}) => looksSuccessful(received))).toBe(true);
	expect(last).toBeDefined();
}

describe('an answer that is cut on a new connection', () => {
	it.each(PLAIN)('is no success: %s', async (_name, answer) => {
		await expectNoFalseSuccess(answer, {prefix: '/once/'});
	});

	it.each(STREAMS)('is no success: a stream %s', async (_name, answer) => {
		await expectNoFalseSuccess(answer, {prefix: '/stream-once/'});
	});
});

describe.each(WAYS)('an answer that is cut %s', (_, way) => {
	it('is no success', async () => {
		await expectNoFalseSuccess(UNTIL_END, {...way, prefix: '/once/'});
		await expectNoFalseSuccess(WITH_HINTS, {...way, prefix: '/once/'});
	});

	it('is no success: a stream', async () => {
		await expectNoFalseSuccess(STREAM_UNTIL_END, {
			...way,
			prefix: '/stream-once/',
		});
	});
});

it.each(PLAIN)('a cut answer to HEAD is no success: %s', async (_, answer) => {
	const head = answer.bytes.slice(0, findHeadEnd(answer.bytes));
	await expectNoFalseSuccess(
		{...answer, bytes: head, body: '', endsWithConnection: false},
		{prefix: '/once/', method: 'HEAD'},
	);
});

// What is not whole is asked for again, and nothing of it is kept.
it.each(['backend', 'peer'] as const)(
	'another answer takes the place of one that is cut, of a %s',
	async (via) => {
		const other = {...createAnswer(OK, 'other'), endDelayMs: 5};
		const results = await cutEverywhere(plain(OK + WITH_LENGTH), {
			prefix: '/plain/',
			via,
			behind: other,
		});
		results.forEach(({label, whole, seen, received}) => {
			const body = whole ?? 'other';
			expect(received, label).toEqual({status: 200, body, isWhole: true});
			expect(seen, label).toHaveLength(whole === undefined ? 2 : 1);
		});
	},
);

it.each(['backend', 'peer'] as const)(
	'a stream goes on behind an answer that is cut, of a %s',
	async (via) => {
		const broken = {...createBroken(1), endDelayMs: 5};
		const rest = {...createStream(formatEvents(2)), endDelayMs: 5};
		const results = await cutEverywhere(
			plain(rest.bytes, {body: formatEvents(2)}),
			{prefix: '/stream/', via, before: broken, behind: rest},
		);
		results.forEach(({label, cut, whole, seen, received}) => {
			const hasEvent = cut.includes(formatEvents(2));
			expect(received.body, label).toBe(formatEvents(1, 2));
			expect(received.isWhole || hasEvent, label).toBe(true);
			expect(seen.slice(0, 2), label).toEqual(['', '1']);
			expect(seen.length, label).toBeGreaterThan(whole === undefined ? 2 : 1);
		});
	},
);
