import {
	type CompactSpeeds,
	decodeControlReport,
	type EntryReport,
} from '@lovagevalve/dispatch';
import {describe, expect, it} from 'vitest';
import {decodeReport} from '../../decode-report.js';
import {
	createReport,
	createTestRegistry,
	READY_RECORD,
} from './test-registry.js';

const KEY = 'e-1/1';

function createTest() {
	const time = {now: 100_000};
	const {registry} = createTestRegistry({
		now: () => time.now,
		wall: () => time.now,
	});
	registry.register({...READY_RECORD, heardAt: time.now});
	return {
		time,
		registry,
		tell(entry: string, speeds: CompactSpeeds) {
			registry.applyReport(createReport(entry, {speeds}));
		},
		ask: (entry: string, speeds: EntryReport['speeds'] | 'none' = {}) =>
			registry.createReportResponse(
				createReport(entry, speeds === 'none' ? {} : {speeds}),
			).overview?.speeds,
	};
}

describe('speeds that entries report', () => {
	it('are summed over the other entries, and replace what an entry told before', () => {
		const {tell, ask} = createTest();
		tell('a', {[KEY]: [1, 5000, 1000, 0, 0]});
		tell('b', {[KEY]: [9, 9000, 9000, 0, 0]});
		tell('b', {[KEY]: [2, 8000, 2000, 10, 300]});
		expect(ask('c')).toEqual({[KEY]: [3, 13_000, 3000, 10, 300]});
		expect(ask('a')).toEqual({[KEY]: [2, 8000, 2000, 10, 300]});
		expect(ask('b')).toEqual({[KEY]: [1, 5000, 1000, 0, 0]});
	});

	// Older entries get no bytes that they can't read, and others only once a second.
	it('are not returned to an entry that sent none', () => {
		const {tell, ask} = createTest();
		tell('a', {[KEY]: [1, 5000, 1000, 0, 0]});
		expect(ask('b', 'none')).toBeUndefined();
	});

	// All of 157 backend servers would add 6 KB to each such answer.
	it('are returned again only where they have changed', () => {
		const {time, tell, ask} = createTest();
		tell('a', {[KEY]: [1, 5000, 1000, 0, 0], 'e-2/1': [1, 5000, 1000, 0, 0]});
		time.now += 1;
		expect(Object.keys(ask('b') ?? {})).toEqual([KEY, 'e-2/1']);
		time.now += 1000;
		tell('a', {'e-2/1': [2, 9000, 2000, 0, 0]});
		time.now += 1;
		expect(ask('b')).toEqual({'e-2/1': [2, 9000, 2000, 0, 0]});
		time.now += 1000;
		expect(ask('b')).toEqual({});
	});

	it('decay while no entry reports them anew, also of a single entry', () => {
		const {time, registry, tell, ask} = createTest();
		tell('a', {[KEY]: [4, 20_000, 4000, 0, 0]});
		time.now += 1000;
		registry.applyReport(createReport('a'));
		time.now += 1000;
		registry.applyReport(createReport('a'));
		time.now += 1000;
		tell('b', {[KEY]: [1, 5000, 1000, 0, 0]});
		expect(ask('c')).toEqual({[KEY]: [3, 15_000, 3000, 0, 0]});
		expect(ask('a')).toEqual({[KEY]: [1, 5000, 1000, 0, 0]});
		time.now += 40_000;
		expect(ask('c')).toEqual({});
	});

	it('are forgotten with the incarnation', () => {
		const {time, registry, tell, ask} = createTest();
		tell('a', {[KEY]: [4, 20_000, 4000, 0, 0]});
		registry.register({...READY_RECORD, bornAt: 2, heardAt: time.now});
		registry.removeExpired();
		expect(ask('c')).toEqual({});
	});

	it('are checked one by one when they come from outside', () => {
		const speeds = {
			sound: [1, 2, 3, 4, 5],
			negative: [1, -2, 3, 0, 0],
			short: [1, 2, 3],
			text: ['1', 2, 3, 0, 0],
			huge: [1, 1e300, 3, 0, 0],
			timeless: [1, 2, 0, 0, 0],
			none: null,
		};
		const expected = {sound: [1, 2, 3, 4, 5]};
		const report = {...createReport('a'), speeds};
		expect(decodeReport(report)._unsafeUnwrap().speeds).toEqual(expected);
		const answer = {
			version: 1,
			controls: [],
			entries: 1,
			known: {epoch: 1, revision: 1},
			overview: {loads: {}, retries: {}, speeds},
		};
		expect(decodeControlReport(answer)?.overview?.speeds).toEqual(expected);
		[[], 'x', 5].forEach((malformed) => {
			const decoded = decodeReport({...createReport('a'), speeds: malformed});
			expect(decoded._unsafeUnwrap().speeds).toBeUndefined();
		});
	});
});
