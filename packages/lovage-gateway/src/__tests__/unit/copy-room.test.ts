// Guards against copies of KV caches for which engines preempt their own runs under load.
import {expect, it} from 'vitest';
import {hasCopyRoom} from '../../copy-room.js';

const engine = {
	slots: 12,
	memoryTokens: 55_000,
	canBackUp: true,
	canCopy: true,
};
const request = {memoryTokens: 5800, engine};

it('keeps no copy at engines whose runs use half of their memory', () => {
	const kept = Array.from({length: 10}, (_, runs) =>
		hasCopyRoom({memoryTokens: runs * 5800}, request),
	);
	// With as many copies as runs, none of nine is preempted.
	expect(kept.filter(Boolean)).toHaveLength(4);
	expect(kept.indexOf(false)).toBe(4);
});

it('keeps copies at engines whose memory is not known', () => {
	const unknown = {memoryTokens: 5800, engine: undefined};
	expect(hasCopyRoom({memoryTokens: 55_000}, unknown)).toBe(true);
});
