import type {LogEntry} from '@lovagevalve/consensus';
import {expect, it} from 'vitest';
import {createAppliedState} from '../../applied-state.js';
import {
	applyEntry,
	decodeState,
	EMPTY_GROUP_STATE,
	encodeState,
	isStoredConfiguration,
} from '../../state-machine.js';

const ORDER = {kind: 'rollout-order', service: 's', to: 'v2', durationMs: 9};

function createEntry(index: number, command: unknown): LogEntry {
	return {index, term: 1, kind: 'command', data: JSON.stringify(command)};
}

it('reads snapshots of builds that know no roll-outs', () => {
	expect(
		decodeState({
			index: 4,
			term: 1,
			data: '{"version":3,"text":"c"}',
			members: [],
		}),
	).toEqual({
		...EMPTY_GROUP_STATE,
		configuration: {version: 3, text: 'c'},
		appliedIndex: 4,
	});
	expect(decodeState({index: 4, data: '{}'} as never)).toEqual({
		...EMPTY_GROUP_STATE,
		appliedIndex: 4,
	});
});

it('writes snapshots that such builds read, unchanged without orders', () => {
	const configured = applyEntry(
		EMPTY_GROUP_STATE,
		createEntry(1, {version: 3, text: 'c'}),
	);
	expect(encodeState(configured)).toBe('{"version":3,"text":"c"}');
	expect(encodeState(EMPTY_GROUP_STATE)).toBe('{}');
	const ordered = applyEntry(configured, createEntry(2, ORDER));
	const data = encodeState(ordered);
	expect(isStoredConfiguration(JSON.parse(data))).toBe(true);
	expect(decodeState({index: 2, data} as never)).toEqual(ordered);
});

// An order that had ended would run again, as the newest one differs from it.
it('does not apply the log behind a snapshot to newer orders when it is opened again', () => {
	const entries = [
		createEntry(1, ORDER),
		createEntry(2, {
			kind: 'rollout-change',
			service: 's',
			to: 'v2',
			ageMs: 1,
			stage: 'reverted',
			step: 0,
		}),
		createEntry(3, {...ORDER, to: 'v3'}),
	];
	const applied = createAppliedState();
	entries.forEach(applied.apply);
	const before = applied.read();
	applied.recover(undefined);
	applied.apply(entries[0]!);
	expect(applied.read().rolloutRevision).toBe(1);
	entries.slice(1).forEach(applied.apply);
	expect(applied.read()).toEqual(before);
});

it('takes a snapshot after many changes of roll-outs', () => {
	const applied = createAppliedState();
	const taken = Array.from({length: 40}, (_, i) => {
		applied.apply(createEntry(i + 1, {...ORDER, service: `s${i}`}));
		return applied.takeDueSnapshot();
	}).filter((snapshot) => snapshot !== undefined);
	expect(taken).toHaveLength(1);
});
