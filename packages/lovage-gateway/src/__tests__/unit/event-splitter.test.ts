import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {createEventSplitter, type StreamEvent} from '../../event-splitter.js';
import {createTestBuffers} from '../integration/harness.js';

function cut(bytes: Uint8Array, size: number): readonly Uint8Array[] {
	return Array.from({length: Math.ceil(bytes.length / size)}, (_, i) =>
		bytes.subarray(i * size, (i + 1) * size),
	);
}

function split(chunks: readonly Uint8Array[]): readonly StreamEvent[] {
	const account = createTestBuffers().open({source: 'backends', name: 'e-1'});
	const splitter = createEventSplitter(account);
	return chunks.flatMap((chunk) => {
		expect(splitter.push(chunk)).toBe(true);
		const events: StreamEvent[] = [];
		for (
			let event = splitter.next();
			event !== undefined;
			event = splitter.next()
		) {
			events.push(event);
		}

		return events;
	});
}

type Copy = (target: Uint8Array, ...args: readonly number[]) => number;
type IndexOf = (value: number, from?: number) => number;

/** Counts the bytes that are copied or searched while a body is split. */
function countSteps(chunks: readonly Uint8Array[]): number {
	const methods = Buffer.prototype as unknown as {copy: Copy; indexOf: IndexOf};
	const {copy, indexOf} = methods;
	let steps = 0;
	// Mocks would keep each call.
	methods.copy = function (this: Uint8Array, ...args) {
		const copied = copy.apply(this, args);
		steps += copied + 1;
		return copied;
	};

	methods.indexOf = function (this: Uint8Array, value, from = 0) {
		const found = indexOf.call(this, value, from);
		steps += (found === -1 ? this.length : found) - from + 1;
		return found;
	};

	try {
		split(chunks);
	} finally {
		Object.assign(methods, {copy, indexOf});
	}

	return steps;
}

const FORMS = {
	'line breaks': '\n',
	'line breaks of two characters': '\r\n',
	comments: ':\n\n',
	events: 'id: 1\ndata: word\n\n',
	'one event without an end': 'data: x',
	'carriage returns': '\n\r',
} as const;

describe('the cost of splitting a stream', () => {
	it.each(
		Object.entries(FORMS).flatMap(([name, text]) =>
			[1, 7, 65_536].map((size) => [name, size, text] as const),
		),
	)('grows no faster than its size: %s, %i bytes a chunk', (_, size, text) => {
		const costs = [1024, 8192, size === 65_536 ? 1_048_576 : 65_536].map(
			(bytes) => {
				const body = Buffer.from(text.repeat(Math.ceil(bytes / text.length)));
				return countSteps(cut(body, size)) / body.length;
			},
		);
		// Each byte is copied into the buffer that grows, and searched once or twice.
		expect(Math.max(...costs)).toBeLessThan(6);
	});
});

describe('an event splitter', () => {
	const part = fc.constantFrom(
		'id: 1\ndata: a\n\n',
		'data: b\r\n\r\n',
		': comment\n\n',
		'\n\n',
		'\r\n',
		'data: c\n\r\n',
	);

	it('keeps every byte in its order, and finds the same events in any chunks', () => {
		fc.assert(
			fc.property(
				fc.array(part),
				fc.integer({min: 1, max: 40}),
				(parts, size) => {
					const body = Buffer.from(parts.join(''));
					const events = split(cut(body, size));
					const joined = Buffer.concat(events.map(({bytes}) => bytes));
					expect(body.subarray(0, joined.length)).toEqual(joined);
					const withData = ({hasData}: StreamEvent): boolean => hasData;
					expect(events.filter(withData).length).toBe(
						split([body]).filter(withData).length,
					);
				},
			),
		);
	});

	it('keeps no chunk alive beyond its events', () => {
		const [event] = split([
			Buffer.concat([Buffer.from('data: a\n\n'), Buffer.alloc(60_000, 'x')]),
		]);
		expect(event!.bytes.buffer.byteLength).toBeLessThan(16_384);
	});
});
