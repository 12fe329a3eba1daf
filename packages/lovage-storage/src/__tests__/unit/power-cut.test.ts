import type {RecoveredState} from '@lovagevalve/consensus';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {PersistEffect, PersistSnapshotEffect} from '../../index.js';
import {
	createEntry,
	createHarness,
	createPersist,
	createSnapshot,
	FOLDER,
} from './harness.js';
import {createMemoryFileSystem} from './memory-file-system.js';

/** Computes the stored state after a sequence of writes. */
function replay(writes: ReadonlyArray<PersistEffect | PersistSnapshotEffect>) {
	const initial: Pick<RecoveredState, 'snapshot' | 'entries' | 'hardState'> = {
		hardState: {term: 0},
		entries: [],
	};
	return writes.reduce((state, write) => {
		if (write.kind === 'persist') {
			const {truncateAfter = Infinity} = write;
			const kept = state.entries.filter(({index}) => index <= truncateAfter);
			return {
				...state,
				hardState: write.hardState ?? state.hardState,
				entries: [...kept, ...write.entries],
			};
		}

		const {snapshot, replacesLog} = write;
		const entries = replacesLog
			? []
			: state.entries.filter(({index}) => index > snapshot.index);
		return {...state, snapshot, entries};
	}, initial);
}

const writeKinds = fc.array(
	fc.constantFrom('append', 'truncate', 'vote', 'snapshot', 'install'),
	{minLength: 1, maxLength: 12},
);

function createWrites(
	kinds: readonly string[],
): ReadonlyArray<PersistEffect | PersistSnapshotEffect> {
	let last = 0;
	let base = 0;
	return kinds.map((kind, position) => {
		const sequence = position + 1;
		switch (kind) {
			case 'truncate': {
				const truncateAfter = Math.max(base, last - 1);
				last = truncateAfter + 1;
				const entry = createEntry(last, sequence);
				return {...createPersist(sequence, entry), truncateAfter};
			}

			case 'vote': {
				const hardState = {group: 'g', term: sequence, vote: 'x'};
				return {...createPersist(sequence), hardState};
			}

			case 'snapshot': {
				base = Math.max(base, last - 1);
				return createSnapshot(sequence, base);
			}

			case 'install': {
				base = last + 5;
				last = base;
				return {...createSnapshot(sequence, base), replacesLog: true};
			}

			default: {
				last += 1;
				return createPersist(sequence, createEntry(last, sequence));
			}
		}
	});
}

test('a power cut at any file operation loses no synced data', async () => {
	const shares = fc.constantFrom(0, 0.4, 0.99, 1);
	await fc.assert(
		fc.asyncProperty(
			writeKinds,
			fc.nat(60),
			shares,
			fc.boolean(),
			async (kinds, calls, share, keepsNames) => {
				const files = createMemoryFileSystem();
				const harness = createHarness(files);
				const writes = createWrites(kinds);
				const {store} = await harness.open();
				files.failAfter(calls);
				writes.forEach((write) => {
					store.write(write);
				});
				await Promise.allSettled([store.close()]);
				files.cutPower(share, keepsNames);
				await files.remove(`${FOLDER}/lock`);
				const {recovered} = await harness.open();
				const synced = harness.synced.at(-1) ?? 0;
				const possible = writes
					.slice(synced)
					.map((_, extra) => replay(writes.slice(0, synced + extra + 1)));
				expect([replay(writes.slice(0, synced)), ...possible]).toContainEqual({
					hardState: recovered.hardState,
					snapshot: recovered.snapshot,
					entries: recovered.entries,
				});
				expect(recovered.replica).toBe('replica-1');
			},
		),
		{seed: 11, numRuns: 600},
	);
});
