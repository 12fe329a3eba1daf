import {Buffer} from 'node:buffer';
import {expect, it} from 'vitest';
import {createEventSplitter} from '../../event-splitter.js';
import {createTestBuffers} from '../integration/harness.js';
import {readHeapBytes} from '../integration/heap-bytes.js';

// A part of a text keeps the whole text: the id of the last event is kept while a stream
// waits for the next one, and no account counts its event then.

const EVENTS = 100;
const EVENT_BYTES = 100_000;
const MAX_BYTES_PER_ID = 2000;

it('an id does not keep the text of its event', () => {
	const account = createTestBuffers().open({source: 'backends', name: 'b'});
	const before = readHeapBytes();
	const ids = Array.from({length: EVENTS}, (_, i) => {
		const splitter = createEventSplitter(account);
		const id = String(i + 1).padStart(20, '0');
		splitter.push(
			Buffer.from(`id: ${id}\ndata: ${'x'.repeat(EVENT_BYTES)}\n\n`),
		);
		return splitter.next()?.id;
	});
	const perId = (readHeapBytes() - before) / EVENTS;
	expect(ids.at(-1)).toBe(String(EVENTS).padStart(20, '0'));
	expect(perId).toBeLessThan(MAX_BYTES_PER_ID);
});
