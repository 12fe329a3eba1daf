import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {BackendRecord, ToldFloods} from '../../index.js';
import {
	applyTelling,
	decodeFloods,
	describeMetFloods,
	describeTold,
	hearFloods,
	listAvoidedAsTold,
	MAX_TOLD,
	MAX_TOLD_AGE_MS,
	MAX_TOLD_BY_ONE,
	recordFlood,
} from '../../flood-telling.js';

/** Time for which the entry that met a flooding backend server avoids it. */
const AVOID_MS = 10_000;
/** Time limit of a report. */
const REPORT_TIMEOUT_MS = 800;
const SERVERS = 200;

function find(id: string): BackendRecord | undefined {
	const index = Number(/^e-(\d+)$/u.exec(id)?.[1]);
	return index < SERVERS
		? {
				id,
				service: 's',
				address: `10.0.0.1:${index + 1}`,
				dataCentre: 'a',
				state: index === 0 ? 'gone' : 'ready',
				slots: 8,
				bornAt: 1,
				sequence: 1,
				heardAt: 0,
			}
		: undefined;
}

const keys = fc.nat(SERVERS - 1).map((index) => `e-${index}/1`);
const strangeKeys = fc.constantFrom(
	'e-1/2',
	'e-1/1.0',
	'e-1/ 1',
	'e-1',
	'e-999/1',
	'__proto__/1',
	'constructor',
	'/',
	'',
);
const ages = fc.oneof(
	fc.integer({min: -1000, max: 2 * AVOID_MS}),
	fc.constantFrom(Number.NaN, Number.POSITIVE_INFINITY),
);
const floods = fc.dictionary(fc.oneof(keys, strangeKeys), ages, {
	maxKeys: 100,
});

/** What a control instance keeps once an entry has told of floods. */
const tell = (
	teller: string,
	told: Readonly<Record<string, number>>,
	now: number,
	before: ToldFloods = new Map(),
): ToldFloods => applyTelling(before, {teller, floods: told}, find, now);

/** Checks what a control instance keeps, and what it tells one of the tellers. */
function expectBounded(told: ToldFloods, entry: string, now: number): void {
	expect(told.size).toBeLessThanOrEqual(MAX_TOLD);
	const own = [...told].filter(([, {teller}]) => teller === entry);
	expect(own.length).toBeLessThanOrEqual(MAX_TOLD_BY_ONE);
	const described = describeTold(told, entry, now);
	expect(own.filter(([key]) => Object.hasOwn(described, key))).toEqual([]);
	Object.entries(described).forEach(([key, ageMs]) => {
		expect(key).toMatch(/^e-[1-9]\d*\/1$/u);
		expect(ageMs).toBeGreaterThanOrEqual(0);
		expect(ageMs).toBeLessThanOrEqual(MAX_TOLD_AGE_MS);
	});
}

describe('what entries tell of flooding backend servers', () => {
	it('is bounded in number for each entry and over all of them, and is of known incarnations', () => {
		const reports = fc.array(
			fc.record({
				teller: fc.nat(9).map((index) => `entry-${index}`),
				floods,
				afterMs: fc.nat(1000),
			}),
			{maxLength: 30},
		);
		fc.assert(
			fc.property(reports, (sent) => {
				let told: ToldFloods = new Map();
				let now = 100_000;
				sent.forEach(({afterMs, ...telling}) => {
					now += afterMs;
					told = applyTelling(told, telling, find, now);
					expectBounded(told, telling.teller, now);
				});
			}),
		);
	});

	it('drops the oldest first', () => {
		const newest = Object.fromEntries(
			Array.from({length: 30}, (_, i) => [`e-${i + 1}/1`, 30 - i]),
		);
		const told = tell('entry-1', newest, 1000);
		expect([...told.keys()]).toEqual(
			Array.from({length: MAX_TOLD_BY_ONE}, (_, i) => `e-${30 - i}/1`),
		);
		const all = Array.from({length: 8}).reduce<ToldFloods>(
			(before, _, teller) =>
				tell(
					`entry-${teller}`,
					Object.fromEntries(
						Array.from({length: MAX_TOLD_BY_ONE}, (__, i) => [
							`e-${teller * MAX_TOLD_BY_ONE + i + 1}/1`,
							teller,
						]),
					),
					1000,
					before,
				),
			new Map(),
		);
		expect(new Set([...all.values()].map(({teller}) => teller))).toEqual(
			new Set(['entry-0', 'entry-1', 'entry-2', 'entry-3']),
		);
		const met = Array.from({length: 30}).reduce<ReadonlyMap<string, number>>(
			(before, _, i) => recordFlood(before, `e-${i}/1`, 'flooded', i),
			new Map(),
		);
		expect(Object.values(describeMetFloods(met, 30))).toEqual(
			Array.from({length: MAX_TOLD_BY_ONE}, (_, i) => i + 1),
		);
	});

	// Reports that are repeated and late must not make a flood younger.
	it('has nobody avoid a backend server longer than the entry that met it', () => {
		const delays = fc.nat(REPORT_TIMEOUT_MS);
		fc.assert(
			fc.property(
				fc.double({min: 0, max: AVOID_MS, noNaN: true}),
				delays,
				fc.double({min: 0, max: AVOID_MS, noNaN: true}),
				delays,
				(tellAt, tellingMs, answerAt, answeringMs) => {
					const met = recordFlood(new Map(), 'e-1/1', 'flooded', 0);
					const told = tell(
						'entry-1',
						describeMetFloods(met, tellAt),
						tellAt + tellingMs,
					);
					const describedAt = Math.max(tellAt + tellingMs, answerAt);
					const heardAt = describedAt + answeringMs;
					const heard = hearFloods(
						describeTold(told, 'entry-2', describedAt),
						find,
						heardAt,
					);
					const candidates = ['e-1/1', 'e-2/1'].map((key) => ({
						key,
						isAvoided: false,
					}));
					const isAvoidedAt = (at: number): boolean =>
						listAvoidedAsTold(candidates, heard, at).has('e-1/1');
					expect(isAvoidedAt(Math.max(AVOID_MS, heardAt))).toBe(false);
					if (heardAt < MAX_TOLD_AGE_MS - 1) {
						expect(isAvoidedAt(heardAt)).toBe(true);
					}
				},
			),
		);
	});

	it('ends when the entry that met the backend server has a sound answer of it', () => {
		const met = recordFlood(new Map(), 'e-1/1', 'flooded', 0);
		expect(recordFlood(met, 'e-1/1', 'failed', 100)).toBe(met);
		expect(recordFlood(met, 'e-1/1', 'unreachable', 100)).toBe(met);
		expect(recordFlood(met, 'e-2/1', 'answered', 100)).toBe(met);
		const answered = recordFlood(met, 'e-1/1', 'answered', 100);
		expect(describeMetFloods(answered, 100)).toEqual({});
		const told = tell('entry-1', describeMetFloods(met, 100), 100);
		expect(describeTold(told, 'entry-2', 100)).toEqual({'e-1/1': 100});
		const later = tell('entry-1', {}, 300, told);
		expect(describeTold(later, 'entry-2', 300)).toEqual({});
	});

	it('goes on for an entry that tells nothing any more because it has ended', () => {
		const told = tell('entry-1', {'e-1/1': 0}, 0);
		const later = tell('entry-2', {}, 5000, told);
		expect(describeTold(later, 'entry-2', 5000)).toEqual({'e-1/1': 5000});
	});
});

// What an entry tells can't be checked, and it may be faulty.
describe('what an entry makes of what others tell', () => {
	it('leaves at least half of the backend servers of a service in use', () => {
		const candidates = fc.uniqueArray(
			fc.record({key: keys, isAvoided: fc.boolean()}),
			{selector: ({key}) => key, maxLength: 40},
		);
		fc.assert(
			fc.property(candidates, floods, (known, told) => {
				const heard = hearFloods(told, find, 100_000);
				expect(heard.size).toBeLessThanOrEqual(MAX_TOLD);
				const avoided = listAvoidedAsTold(known, heard, 100_000);
				const ownCount = known.filter(({isAvoided}) => isAvoided).length;
				expect(ownCount + avoided.size).toBeLessThanOrEqual(
					Math.max(ownCount, Math.floor(known.length / 2)),
				);
				known
					.filter(({key, isAvoided}) => isAvoided || !heard.has(key))
					.forEach(({key}) => {
						expect(avoided.has(key)).toBe(false);
					});
			}),
		);
	});

	it('believes the newest floods first', () => {
		const candidates = [1, 2, 3, 4].map((index) => ({
			key: `e-${index}/1`,
			isAvoided: false,
		}));
		const heard = hearFloods(
			{'e-1/1': 30, 'e-2/1': 10, 'e-3/1': 20},
			find,
			1000,
		);
		expect(listAvoidedAsTold(candidates, heard, 1000)).toEqual(
			new Set(['e-2/1', 'e-3/1']),
		);
	});

	it('is nothing for a backend server without another one', () => {
		const heard = hearFloods({'e-1/1': 0}, find, 1000);
		const only = [{key: 'e-1/1', isAvoided: false}];
		expect(listAvoidedAsTold(only, heard, 1000)).toEqual(new Set());
	});
});

describe('decodeFloods', () => {
	it('leaves out what can not be read', () => {
		expect(
			decodeFloods({'e-1/1': 5, b: '5', c: -1, d: null, e: AVOID_MS, f: {}}),
		).toEqual({'e-1/1': 5});
	});

	it('reads only floods with an age that may be told, whatever is sent', () => {
		fc.assert(
			fc.property(fc.anything(), (value) => {
				const decoded = decodeFloods(value);
				Object.values(decoded ?? {}).forEach((ageMs) => {
					expect(ageMs).toBeGreaterThanOrEqual(0);
					expect(ageMs).toBeLessThan(MAX_TOLD_AGE_MS);
				});
			}),
		);
		expect(['x', 7, null, undefined, [], true].map(decodeFloods)).toEqual(
			Array.from({length: 6}, () => undefined),
		);
	});
});
