import type {LogEntry, RecoveredState} from '@lovagevalve/consensus';
import fc from 'fast-check';
import {expect, test, vi} from 'vitest';
import {
	openStore,
	setStoreAside,
	type OpenedStore,
	type Persist,
	type PersistSnapshot,
	type ProcessTable,
} from '../../index.js';
import {createMemoryFileSystem} from './memory-file-system.js';

const FOLDER = '/data';

const processes: ProcessTable = {
	nameSelf: async () => 'self',
	isRunning: async (name) => name === 'other',
};

type Files = ReturnType<typeof createMemoryFileSystem>;

function createHarness(files: Files) {
	let identities = 0;
	const synced: number[] = [];
	const failures: Error[] = [];
	const options = {
		folder: FOLDER,
		fileSystem: files,
		processes,
		createIdentity: () => `replica-${++identities}`,
		listener: {
			onSynced: (sequence: number) => synced.push(sequence),
			onFailure: (cause: Error) => failures.push(cause),
		},
	};
	return {
		options,
		synced,
		failures,
		async open(): Promise<OpenedStore> {
			const opened = await openStore(options);
			return opened._unsafeUnwrap();
		},
	};
}

function createEntry(index: number, term = 1): LogEntry {
	return {kind: 'command', index, term, data: `value ${index}.${term}`};
}

function createPersist(sequence: number, ...entries: LogEntry[]): Persist {
	return {kind: 'persist', sequence, entries};
}

function createSnapshot(sequence: number, index: number): PersistSnapshot {
	const snapshot = {index, term: 1, members: [], data: `state ${index}`};
	return {kind: 'persist-snapshot', sequence, snapshot, replacesLog: false};
}

test('a new folder gets an identity that stays', async () => {
	const harness = createHarness(createMemoryFileSystem());
	const first = await harness.open();
	await first.store.close();
	const second = await harness.open();
	expect(first.isNew).toBe(true);
	expect(second.isNew).toBe(false);
	expect(second.recovered.replica).toBe(first.recovered.replica);
});

test('writes that wait share one sync', async () => {
	const harness = createHarness(createMemoryFileSystem());
	const {store} = await harness.open();
	[1, 2, 3, 4, 5].forEach((sequence) => {
		store.write(createPersist(sequence, createEntry(sequence)));
	});
	await store.close();
	expect(harness.synced).toEqual([1, 5]);
});

test('a long log is read back', async () => {
	const harness = createHarness(createMemoryFileSystem());
	const {store} = await harness.open();
	const entries = Array.from({length: 300_000}, (_, position) =>
		createEntry(position + 1),
	);
	store.write(createPersist(1, ...entries.slice(0, 100_000)));
	store.write(createPersist(2, ...entries.slice(100_000, 200_000)));
	store.write(createPersist(3, ...entries.slice(200_000)));
	store.write(createSnapshot(4, 10));
	await store.close();
	const {recovered} = await harness.open();
	expect(recovered.entries).toHaveLength(entries.length - 10);
});

test('an unfinished write is cut off', async () => {
	const files = createMemoryFileSystem();
	const harness = createHarness(files);
	const {store} = await harness.open();
	store.write(createPersist(1, createEntry(1)));
	await store.close();
	const length = files.measure(`${FOLDER}/log-1`);
	const again = await harness.open();
	again.store.write(createPersist(2, createEntry(2)));
	await again.store.close();
	files.cutFile(`${FOLDER}/log-1`, length + 20);
	const {recovered, cutBytes} = await harness.open();
	expect(recovered.entries).toEqual([createEntry(1)]);
	expect(cutBytes).toBe(20);
	expect(files.measure(`${FOLDER}/log-1`)).toBe(length);
});

test('a changed byte anywhere in synced files is a lost disk', async () => {
	const files = createMemoryFileSystem();
	const harness = createHarness(files);
	const {store} = await harness.open();
	store.write(createPersist(1, createEntry(1), createEntry(2)));
	store.write(createSnapshot(2, 1));
	store.write(createPersist(3, createEntry(3)));
	store.write({...createPersist(4), hardState: {term: 7, vote: 'x'}});
	await store.close();
	for (const name of ['log-2', 'snapshot-2']) {
		const path = `${FOLDER}/${name}`;
		const length = files.measure(path);
		for (let position = 0; position < length; position++) {
			files.corrupt(path, position);
			// eslint-disable-next-line no-await-in-loop -- one file, one change at a time
			const result = await openStore(harness.options);
			files.corrupt(path, position);
			expect(result._unsafeUnwrapErr().kind).toBe('damaged');
		}
	}

	const {recovered} = await harness.open();
	expect(recovered.hardState.term).toBe(7);
});

test('a missing snapshot or log is a lost disk', async () => {
	const files = createMemoryFileSystem();
	const harness = createHarness(files);
	const {store} = await harness.open();
	store.write(createPersist(1, createEntry(1)));
	store.write(createSnapshot(2, 1));
	await store.close();
	const content = await files.read(`${FOLDER}/snapshot-2`);
	await files.remove(`${FOLDER}/snapshot-2`);
	const withoutSnapshot = await openStore(harness.options);
	expect(withoutSnapshot._unsafeUnwrapErr().kind).toBe('damaged');
	await files.createExclusive(
		`${FOLDER}/snapshot-2`,
		new TextDecoder().decode(content),
	);
	await files.remove(`${FOLDER}/log-2`);
	const withoutLog = await openStore(harness.options);
	expect(withoutLog._unsafeUnwrapErr().kind).toBe('damaged');
});

test('a damaged folder is set aside and opens under a new identity', async () => {
	const files = createMemoryFileSystem();
	const harness = createHarness(files);
	const first = await harness.open();
	await first.store.close();
	files.corrupt(`${FOLDER}/log-1`, 3);
	const aside = await setStoreAside(harness.options);
	expect(aside._unsafeUnwrap()).toBe('damaged-1');
	const second = await harness.open();
	expect(second.isNew).toBe(true);
	expect(second.recovered.replica).not.toBe(first.recovered.replica);
	expect(files.listAll()).toContain(`${FOLDER}/damaged-1/log-1`);
});

test('a folder that a running process holds is refused, a stale lock is taken', async () => {
	const files = createMemoryFileSystem();
	const harness = createHarness(files);
	await files.createExclusive(`${FOLDER}/lock`, 'other');
	const refused = await openStore(harness.options);
	expect(refused._unsafeUnwrapErr()).toEqual({kind: 'locked', holder: 'other'});
	await files.remove(`${FOLDER}/lock`);
	await files.createExclusive(`${FOLDER}/lock`, 'gone');
	const taken = await openStore(harness.options);
	expect(taken.isOk()).toBe(true);
});

test('after a failed file call nothing more is written', async () => {
	const files = createMemoryFileSystem();
	const harness = createHarness(files);
	const {store} = await harness.open();
	files.failAfter(1);
	store.write(createPersist(1, createEntry(1)));
	await vi.waitUntil(() => harness.failures.length > 0);
	files.failAfter(Infinity);
	store.write(createPersist(2, createEntry(2)));
	await store.close();
	expect(harness.synced).toEqual([]);
	expect(harness.failures).toHaveLength(1);
});

/** What a disk holds after the first writes of a list. */
function replay(writes: ReadonlyArray<Persist | PersistSnapshot>) {
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
): ReadonlyArray<Persist | PersistSnapshot> {
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

test('a power cut at any file call loses nothing that was synced', async () => {
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
