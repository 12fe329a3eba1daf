import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	type BufferAccount,
	type BufferSource,
	computeBufferCapacity,
	createByteCollector,
	createChunkLease,
	isFragmented,
	takeSmallChunks,
	type ChunkBudget,
} from '../../index.js';
import {computeLoggedLevel} from '../../memory-budget.js';
import {createTestBuffers} from '../integration/test-buffers.js';

const MEGABYTE = 1_048_576;
const CAPACITY = 30 * MEGABYTE;
const SOURCES: readonly BufferSource[] = ['callers', 'backends', 'instances'];

/** Buffers for a holder, in small steps, as much as it may. */
function fill(account: BufferAccount, step = 16_384): number {
	let bytes = 0;
	while (account.resize(bytes + step)) {
		bytes += step;
	}

	return bytes;
}

describe('the bound of buffered bytes', () => {
	it('holds over all holders, whoever asks for how much and gives it back', () => {
		const step = fc.record({
			source: fc.constantFrom(...SOURCES),
			name: fc.constantFrom('a', 'b', 'c'),
			bytes: fc.integer({min: 0, max: CAPACITY}),
		});
		fc.assert(
			fc.property(fc.array(step, {maxLength: 200}), (steps) => {
				const budget = createTestBuffers(CAPACITY);
				const accounts = steps.map(({source, name, bytes}) => {
					const account = budget.open({source, name});
					account.resize(bytes);
					return account;
				});
				expect(budget.readPeakBytes()).toBeLessThan(CAPACITY);
				accounts.forEach((account) => {
					account.release();
					account.release();
				});
				expect(budget.readUsedBytes()).toBe(0);
			}),
		);
	});

	it('leaves room for each customer and each backend server that comes later', () => {
		const budget = createTestBuffers(CAPACITY);
		const held = SOURCES.flatMap((source) =>
			['a', 'b', 'c', 'd'].map((name) => fill(budget.open({source, name}))),
		);
		// A request or an answer of a usual size has some kilobytes.
		expect(Math.min(...held)).toBeGreaterThan(65_536);
	});

	// One full holder refused Raft messages and heartbeats of others at its address.
	it('takes a small message from an address whose large ones are at their bound', () => {
		const budget = createTestBuffers(CAPACITY);
		const holder = {source: 'instances', name: 'shared'} as const;
		fill(budget.open(holder), 64);
		expect(budget.open(holder).resize(2657)).toBe(true);
		expect(budget.open(holder).resize(65_536)).toBe(false);
	});

	it('leaves room for another holder beside an address with any number of small messages', () => {
		const budget = createTestBuffers(CAPACITY);
		const flood = {source: 'instances', name: 'flood'} as const;
		fill(budget.open(flood));
		Array.from({length: 5000}).forEach(() => {
			budget.open(flood).resize(16_384);
		});
		expect(
			fill(budget.open({source: 'instances', name: 'other'})),
		).toBeGreaterThan(MEGABYTE);
	});

	it('lets one customer hold the largest bodies of two requests on the smallest instance', () => {
		const budget = createTestBuffers(computeBufferCapacity(178 * MEGABYTE));
		const holder = {source: 'callers', name: 'label'} as const;
		const isHeld = [0, 1].map(() => budget.open(holder).resize(4 * MEGABYTE));
		expect(isHeld).toEqual([true, true]);
	});
});

describe('a byte collector', () => {
	it('returns the bytes that were pushed, in any pieces', () => {
		fc.assert(
			fc.property(fc.array(fc.uint8Array({maxLength: 3000})), (chunks) => {
				const account = createTestBuffers().open({source: 'callers', name: ''});
				const collector = createByteCollector({account, maxBytes: MEGABYTE});
				chunks.forEach((chunk) => {
					collector.push(chunk);
				});
				expect(Buffer.concat([collector.read()])).toEqual(
					Buffer.concat(chunks),
				);
			}),
		);
	});

	it('holds at most twice the bytes of a body in chunks of one byte', () => {
		const budget = createTestBuffers();
		const account = budget.open({source: 'callers', name: ''});
		const collector = createByteCollector({account, maxBytes: MEGABYTE});
		const chunk = Buffer.alloc(1);
		for (let i = 0; i < 262_144; i += 1) {
			collector.push(chunk);
		}

		expect(budget.readPeakBytes()).toBeLessThanOrEqual(2 * 262_144);
	});

	it('keeps what it has when a chunk is too much', () => {
		const account = createTestBuffers().open({source: 'callers', name: ''});
		const collector = createByteCollector({account, maxBytes: 10});
		expect(collector.push(Buffer.from('12345678'))).toBe('kept');
		expect(collector.push(Buffer.from('9abc'))).toBe('too-large');
		expect(Buffer.from(collector.read()).toString()).toBe('12345678');
	});
});

it('takes no body for fragmented that comes in chunks of a usual size', () => {
	expect(isFragmented({chunks: 800, bytes: 800})).toBe(false);
	expect(isFragmented({chunks: 100_000, bytes: 100 * 100_000})).toBe(false);
	expect(isFragmented({chunks: 5000, bytes: 5000})).toBe(true);
});

it('logs each tenth of the memory limit once while the use grows', () => {
	const uses = [40, 52, 55, 61, 58, 62, 71, 30, 51, 62];
	let level = 0;
	const logged = uses.filter((use) => {
		const next = computeLoggedLevel(level, use, 100);
		const isLogged = next > level;
		level = next;
		return isLogged;
	});
	expect(logged).toEqual([52, 61, 71, 51, 62]);
});

describe('the budget of small chunks', () => {
	it('bounds what bodies of any number take in a time', () => {
		const options = {wanted: 256, maxChunks: 4096};
		let budget: ChunkBudget = {chunks: 4096, atMs: 0};
		let taken = 0;
		for (let nowMs = 0; nowMs < 10_000; nowMs += 1) {
			const next = takeSmallChunks(budget, {...options, nowMs});
			taken += next === undefined ? 0 : 256;
			budget = next ?? budget;
		}

		expect(taken).toBeGreaterThan(4096);
		expect(taken).toBeLessThanOrEqual(4096 + 10 * 1024);
	});

	it('is not taken by bodies in few chunks, or in chunks of a usual size', () => {
		let taken = 0;
		const take = (chunks: number): boolean => {
			taken += chunks;
			return true;
		};

		const isTaken = (size: number, count: number): boolean => {
			const mayRead = createChunkLease(take);
			const before = taken;
			for (let i = 0; i < count; i += 1) {
				mayRead(Buffer.alloc(size));
			}

			return taken > before;
		};

		expect(isTaken(1, 256)).toBe(false);
		expect(isTaken(100, 5000)).toBe(false);
		expect(isTaken(1, 257)).toBe(true);
	});
});
