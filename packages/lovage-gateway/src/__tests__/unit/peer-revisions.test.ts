import {describe, expect, it} from 'vitest';
import {
	chooseFullRevision,
	NO_REVISIONS,
	type PeerRevisions,
	recordRevision,
} from '../../peer-revisions.js';

const MARGIN_MS = 3000;

function answer(
	revisions: PeerRevisions,
	sentAt: number,
	revision: number,
	change: Readonly<{isEndedOnly?: boolean; epoch?: number}> = {},
): PeerRevisions {
	const {isEndedOnly = false, epoch = 1} = change;
	const known = {epoch, revision};
	return recordRevision(revisions, {known, isEndedOnly, sentAt});
}

const endedOnly = {isEndedOnly: true};

describe('revisions of a control instance', () => {
	it('go on after its last full answer', () => {
		const revisions = answer(answer(NO_REVISIONS, 0, 128), 50, 256);
		expect(chooseFullRevision(revisions, 100)?.revision).toBe(256);
	});

	// Load pattern: hundreds of entries start at once, the primary control instance
	// answers late, and entries change to another one and back. Starting over each
	// time, they never receive the last backend servers.
	it('go on in the middle of the parts when it is the primary one again', () => {
		const started = answer(answer(NO_REVISIONS, 0, 128), 50, 256);
		const other = answer(started, 600, 3003, endedOnly);
		expect(chooseFullRevision(other, 650)?.revision).toBe(256);
		const resumed = answer(other, 700, 384);
		expect(chooseFullRevision(resumed, 750)?.revision).toBe(384);
		expect(resumed.ended?.revision).toBe(3003);
	});

	it('go on the margin before the last complete answer of the primary one', () => {
		const revisions = [0, 1000, 2000, 3000, 4000, 5000].reduce(
			(current, at) => answer(current, at, 10 + at, endedOnly),
			NO_REVISIONS,
		);
		const chosen = chooseFullRevision(revisions, 4500);
		expect(chosen?.revision).toBe(10 + Math.floor(4500 - MARGIN_MS - 500));
		expect(chooseFullRevision(revisions, 2500)).toBeUndefined();
	});

	it('are worth nothing after it restarted', () => {
		const before = answer(answer(NO_REVISIONS, 0, 500), 100, 900, endedOnly);
		const after = answer(before, 5000, 3, {isEndedOnly: true, epoch: 2});
		expect(chooseFullRevision(after, 6000)).toBeUndefined();
		expect(after.ended).toEqual({epoch: 2, revision: 3});
	});
});
