import {describe, expect, it} from 'vitest';
import {
	computeCapacity,
	countSelected,
	describeMachines,
	joinMachines,
	planSelection,
	selectAddresses,
	type ServingEntry,
} from '../../index.js';

const DATA_CENTRES = ['a', 'b', 'c'];
/** Cores of the machines of a heterogeneous deployment. */
const CORES = [0.243, 0.324, 0.405, 0.486, 0.567, 0.648, 0.729, 0.81];

function createEntries(
	count: number,
	readCapacity = (i: number): number | undefined => CORES[i % CORES.length],
): readonly ServingEntry[] {
	return Array.from({length: count}, (_, i) => ({
		address: `10.1.${Math.floor(i / 250)}.${i % 250}:8740`,
		dataCentre: DATA_CENTRES[i % DATA_CENTRES.length],
		capacity: readCapacity(i),
	}));
}

type Question = Readonly<{caller: string; places: readonly string[]}>;

/** Callers, of which each data centre has as many as its share says. */
function createCallers(count: number, shares = [1, 1, 1]): readonly Question[] {
	const total = shares.reduce((sum, share) => sum + share);
	const [a = 0, b = 0] = shares.map((share) => share / total);
	return Array.from({length: count}, (_, i) => {
		const position = (i + 0.5) / count;
		const index = position < a ? 0 : position < a + b ? 1 : 2;
		const caller = `10.${index}.${Math.floor(i / 250)}.${i % 250}`;
		return {caller, places: [DATA_CENTRES[index]!, 'region']};
	});
}

/** Callers for each address, each of which picks one of its answer at random. */
function countCallers(
	entries: readonly ServingEntry[],
	callers: readonly Question[],
): ReadonlyMap<string, number> {
	const plan = planSelection(entries);
	const counts = new Map(entries.map(({address}) => [address, 0]));
	for (const caller of callers) {
		const addresses = selectAddresses(plan, caller);
		for (const address of addresses) {
			counts.set(address, counts.get(address)! + 1 / addresses.length);
		}
	}

	return counts;
}

/** The lowest and highest number of callers of an entry, over its part by capacity. */
function findExtremes(
	entries: readonly ServingEntry[],
	callers: readonly Question[],
): readonly [number, number] {
	const counts = countCallers(entries, callers);
	const total = entries.reduce((sum, {capacity = 1}) => sum + capacity, 0);
	const ratios = entries.map(
		({address, capacity = 1}) =>
			(counts.get(address)! * total) / (callers.length * capacity),
	);
	return [Math.min(...ratios), Math.max(...ratios)];
}

function countChanged(
	before: readonly ServingEntry[],
	after: readonly ServingEntry[],
	callers: readonly Question[],
): number {
	const [old, changed] = [planSelection(before), planSelection(after)];
	const added = callers.map((caller) => {
		const known = new Set(selectAddresses(old, caller));
		return selectAddresses(changed, caller).filter(
			(address) => !known.has(address),
		).length;
	});
	return added.reduce((sum, count) => sum + count, 0) / callers.length;
}

// Fault: an answer was the first 64 entries of the list, so the others got no callers.
describe('the callers of entries', () => {
	it.each([
		['195 entries', 195, [1, 1, 1]],
		['195 entries, and demand that shifts', 195, [1.55, 1, 0.45]],
		['87 entries', 87, [1, 1, 1]],
		['87 entries, and demand that shifts', 87, [0.45, 1.55, 1]],
		['24 entries', 24, [1, 1, 1]],
	])('are in proportion to cores with %s', (_, count, shares) => {
		const entries = createEntries(count);
		const [least, most] = findExtremes(entries, createCallers(12_000, shares));
		expect(least).toBeGreaterThan(0.8);
		expect(most).toBeLessThan(1.2);
	});

	it('are in proportion where a small data centre has few entries', () => {
		const entries = createEntries(195).map((entry, i) =>
			entry.dataCentre === 'c' && i > 30 ? {...entry, dataCentre: 'a'} : entry,
		);
		const callers = createCallers(12_000, [11.8, 6.5, 1]);
		const [least, most] = findExtremes(entries, callers);
		expect(least).toBeGreaterThan(0.8);
		expect(most).toBeLessThan(1.2);
	});

	it('are spread evenly if no capacity is known', () => {
		const entries = createEntries(195, () => undefined);
		const [least, most] = findExtremes(entries, createCallers(12_000));
		expect(least).toBeGreaterThan(0.8);
		expect(most).toBeLessThan(1.2);
	});

	it('prefer entries of their data centre', () => {
		const entries = createEntries(195);
		const near = new Set(
			entries
				.filter(({dataCentre}) => dataCentre === 'a')
				.map(({address}) => address),
		);
		const callers = createCallers(300, [1, 0, 0]);
		const answers = callers.map((caller) =>
			selectAddresses(planSelection(entries), caller),
		);
		const chosen = answers.flat().filter((address) => near.has(address));
		expect(chosen.length / answers.flat().length).toBeGreaterThan(0.42);
		for (const answer of answers) {
			const flags = answer.map((address) => near.has(address));
			expect(flags.lastIndexOf(true)).toBeLessThan(flags.indexOf(false));
		}
	});
});

describe('an answer', () => {
	const entries = createEntries(195);
	const callers = createCallers(300);

	it('is the same for the same entries, in whatever order they are known', () => {
		const plan = planSelection(entries);
		const reversed = planSelection(entries.toReversed());
		const told = planSelection(
			joinMachines(
				entries.map(({address}) => address),
				describeMachines(entries),
			),
		);
		for (const caller of callers) {
			const answer = selectAddresses(plan, caller);
			expect(selectAddresses(plan, caller)).toEqual(answer);
			expect(selectAddresses(reversed, caller)).toEqual(answer);
			expect(selectAddresses(told, caller)).toEqual(answer);
		}
	});

	// Callers close connections to addresses that a new answer leaves out.
	it('changes little when an entry joins or leaves', () => {
		// An entry is in at most a third of the answers, and others move by a 195th.
		for (const count of [194, 196]) {
			const changed = createEntries(count);
			expect(countChanged(entries, changed, callers)).toBeLessThan(0.5);
		}
	});

	it('keeps addresses when a data centre is lost', () => {
		const plan = planSelection(entries);
		for (const caller of callers) {
			const answer = selectAddresses(plan, caller);
			expect(new Set(answer).size).toBe(64);
			for (const lost of DATA_CENTRES) {
				const gone = new Set(
					entries
						.filter(({dataCentre}) => dataCentre === lost)
						.map(({address}) => address),
				);
				const left = answer.filter((address) => !gone.has(address));
				expect(left.length).toBeGreaterThan(3);
			}
		}
	});

	it('has an address of another data centre, however few entries there are', () => {
		const few = createEntries(12).map((entry, i) => ({
			...entry,
			dataCentre: i === 0 ? 'b' : 'a',
		}));
		const plan = planSelection(few);
		for (const caller of createCallers(300, [1, 0, 0])) {
			expect(selectAddresses(plan, caller)).toContain(few[0]!.address);
		}
	});

	it.each([
		['64 entries of one kind', createEntries(64, () => 0.324)],
		[
			'entries that differ by less than a fifth',
			createEntries(9, (i) => 1 + i / 50),
		],
		['64 entries of unknown capacity', createEntries(64, () => undefined)],
		['no entry', []],
	])('is the list itself with %s', (_, listed) => {
		const plan = planSelection(listed);
		expect(selectAddresses(plan, callers[0]!)).toEqual(
			listed.map(({address}) => address),
		);
		expect(countSelected(plan)).toBe(listed.length);
	});

	it('is never empty, whatever the capacities', () => {
		const odd = [Number.NaN, -1, 0, 1e308, Number.POSITIVE_INFINITY, 4096];
		for (const count of [1, 2, 3, 70]) {
			const listed = createEntries(count, (i) => odd[i % odd.length]);
			const plan = planSelection(listed);
			expect(selectAddresses(plan, callers[0]!).length).toBeGreaterThanOrEqual(
				Math.min(count, 3),
			);
		}
	});

	it('counts an entry of unknown capacity as the median one', () => {
		const capacities = [1, 2, 4, undefined];
		const plan = planSelection(createEntries(4, (i) => capacities[i]));
		expect(plan.totalWeight).toBe(9);
	});
});

describe('the capacity of an entry', () => {
	it.each([
		[0.324, 7, 0.324],
		[0.81, 17.5, 0.81],
		// Its link carries less than its processor.
		[1, 5.4, 0.5],
		[0.5, undefined, 0.5],
	])('of %s cores and a link of %s Mbit/s is %s', (cores, link, expected) => {
		expect(computeCapacity(cores, link)).toBe(expected);
	});
});
