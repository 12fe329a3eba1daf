import {describe, expect, it} from 'vitest';
import {
	acceptsBrittle,
	type BrittleInputs,
	chooseCoolDownMs,
	countBorrowers,
	countOwnSlots,
	countRejected,
	countRepeats,
	mayBorrowSlot,
} from '../../index.js';

describe('countOwnSlots', () => {
	it.each([
		[7, 3, 6],
		[4, 3, 4],
		[195, 6, 6],
		[1, 3, 6],
	])(
		'deals all slots to %i instances, each once: %i backend servers of %i',
		(instances, backends, slots) => {
			const bySlot = Array.from({length: backends}, (_, position) =>
				Array.from({length: instances}, (_, rank) =>
					countOwnSlots({position, backends, slots, rank, instances}),
				),
			);
			const sums = bySlot.map((owned) => owned.reduce((a, b) => a + b, 0));
			expect(sums).toEqual(Array.from({length: backends}, () => slots));
			const perInstance = Array.from({length: instances}, (_, rank) =>
				bySlot.reduce((sum, owned) => sum + owned[rank]!, 0),
			);
			expect(
				Math.max(...perInstance) - Math.min(...perInstance),
			).toBeLessThanOrEqual(1);
		},
	);
});

describe('acceptsBrittle', () => {
	const full = {
		ownRunning: 2,
		running: 6,
		serviceRunning: 12,
		backends: 3,
		slots: 6,
		ownSlots: 2,
		borrowers: 3,
	};
	const inputs: BrittleInputs = {
		maxRejections: 4,
		rejections: 0,
		isCoolingDown: false,
		isBorrowingPaused: false,
		isRetry: false,
		mayBorrow: false,
		occupancy: full,
	};

	it.each<readonly [string, Partial<BrittleInputs>, boolean]>([
		['sends nothing to a full one', {}, false],
		['uses a slot of its own', {occupancy: {...full, ownRunning: 1}}, true],
		[
			'uses a slot of another instance where it may borrow one',
			{mayBorrow: true},
			true,
		],
		[
			'borrows nothing after a rejection of a borrowed slot',
			{mayBorrow: true, isBorrowingPaused: true},
			false,
		],
		[
			'borrows one slot at most',
			{mayBorrow: true, occupancy: {...full, ownRunning: 3}},
			false,
		],
		[
			'sends no rejected request on to slots of others',
			{isRetry: true, mayBorrow: true},
			false,
		],
		[
			'sends nothing after half of the rejections',
			{rejections: 2, occupancy: {...full, ownRunning: 0, running: 0}},
			false,
		],
		[
			'sends less after a rejection of its own',
			{isCoolingDown: true, occupancy: {...full, ownRunning: 1}},
			false,
		],
		[
			'sends nothing after one rejection where none is allowed',
			{maxRejections: 0, rejections: 1, occupancy: {...full, ownRunning: 0}},
			false,
		],
	])('%s', (_, change, isAccepted) => {
		expect(acceptsBrittle({...inputs, ...change})).toBe(isAccepted);
	});
});

describe('mayBorrowSlot', () => {
	const half = {
		running: 4,
		serviceRunning: 12,
		backends: 3,
		slots: 8,
		borrowers: 10,
		steadyForMs: 5000,
	};

	it('lets the instances use three quarters of a backend server together', () => {
		const borrowing = Array.from({length: half.borrowers}, (_, rank) =>
			mayBorrowSlot({...half, draw: rank / half.borrowers}),
		).filter(Boolean);
		expect(borrowing).toHaveLength(2);
	});

	it('lets any of many instances use one that has little to do', () => {
		const idle = {...half, running: 0, serviceRunning: 0, borrowers: 195};
		expect(mayBorrowSlot({...idle, draw: 0.99})).toBe(true);
	});

	it('borrows nothing of one that runs nothing while others are busy', () => {
		expect(mayBorrowSlot({...half, running: 0, draw: 0})).toBe(false);
	});

	it('borrows nothing of one that is three quarters full', () => {
		expect(mayBorrowSlot({...half, running: 6, draw: 0})).toBe(false);
	});

	it('borrows nothing of one that was away a short time ago', () => {
		expect(mayBorrowSlot({...half, steadyForMs: 300, draw: 0})).toBe(false);
	});
});

describe('countBorrowers', () => {
	const share = {position: 0, backends: 3, slots: 4, instances: 16};

	it('counts all for an instance that owns a slot', () => {
		expect(countBorrowers({...share, rank: 11})).toBe(16);
	});

	it('counts those without slots for one of them', () => {
		expect(countBorrowers({...share, rank: 12})).toBe(4);
	});
});

it.each([
	[true, 195, 6, 195],
	[false, 195, 6, 6],
	[false, 4, 6, 4],
])(
	'counts the instances that can be rejected alike (borrowed: %s, %i instances, %i slots)',
	(isBorrowed, instances, slots, count) => {
		expect(countRejected(isBorrowed, instances, slots)).toBe(count);
	},
);

it('cools down longer the more instances share what is allowed', () => {
	expect(chooseCoolDownMs(20, 7, 0, 0.5)).toBe(1000);
	expect(chooseCoolDownMs(4, 7, 0, 0.5)).toBe(3500);
	expect(chooseCoolDownMs(4, 195, 0, 0.5)).toBe(10_000);
});

it('cools down longer with each repeated rejection', () => {
	const times = [0, 1, 2, 3].map((repeats) =>
		chooseCoolDownMs(4, 4, repeats, 0.5),
	);
	expect(times).toEqual([2000, 4000, 8000, 10_000]);
});

it.each([
	['at first', Number.NEGATIVE_INFINITY, 0],
	['within a cool-down', 6000, 2],
	['soon after a cool-down', 4000, 3],
	['long after a cool-down', 1000, 0],
])('counts rejections in a row %s', (_, coolingUntil, repeats) => {
	expect(countRepeats(2, coolingUntil, 5000)).toBe(repeats);
});
