import {Buffer} from 'node:buffer';
import {expect, it} from 'vitest';
import {MAX_MESSAGE_BYTES} from '@lovagevalve/runtime';
import {selectGossipPart} from '../../index.js';

const PERIOD = 6;
/** What three instances may hold that were cut off from each other. */
const MOST = 4096 * 3;

/** The longest record in ASCII, as another instance sends it. */
function createRecord(i: number, text = 'x') {
	return {
		id: String(i).padStart(256, 'i'),
		service: text.repeat(256),
		address: '100.100.100.100:65535',
		dataCentre: text.repeat(256),
		softwareVersion: text.repeat(128),
		state: 'draining',
		slots: 65_536,
		bornAt: Number.MAX_SAFE_INTEGER,
		sequence: Number.MAX_SAFE_INTEGER,
		ageMs: 119_999.123_456_789,
	};
}

function createRecords(count: number, text?: string) {
	return Array.from({length: count}, (_, i) => createRecord(i, text));
}

function listParts<T>(records: readonly T[]): ReadonlyArray<readonly T[]> {
	return Array.from({length: PERIOD}, (_, round) =>
		selectGossipPart(records, {round: round + PERIOD * 7, period: PERIOD}),
	);
}

// One message of all was refused as too large, so instances never held the same again.
it.each([
	['longest ASCII names, of three instances that were cut off', MOST, 'x'],
	['names of control characters, of a full table', 4096, '\u0001'],
] as const)(
	'sends all in messages that are taken: %s',
	(_name, count, text) => {
		const records = createRecords(count, text);
		const parts = listParts(records);
		expect(parts.flat()).toEqual(records);
		parts.forEach((backends) => {
			const bytes = Buffer.byteLength(JSON.stringify({backends}));
			expect(bytes).toBeLessThan(MAX_MESSAGE_BYTES);
		});
	},
);

it('sends all of a usual deployment in the first round', () => {
	const records = createRecords(400);
	expect(listParts(records)).toEqual([records, [], [], [], [], []]);
});
