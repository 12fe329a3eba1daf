import type {AgedRecord, ControlReport} from '@lovagevalve/dispatch';
import {describe, expect, it} from 'vitest';
import {createBackendView} from '../../backend-view.js';
import {
	createTestBrittle,
	createTestLimits,
	silentLogger,
	silentMetrics,
} from '../integration/harness.js';

const INTERVAL_MS = 1000;
const AGES_ABOVE_MS = 1500;

function createTestView() {
	const time = {now: 100_000};
	const clock = {now: () => time.now, wall: () => time.now};
	const view = createBackendView({
		clock,
		brittle: createTestBrittle(clock),
		readRank: () => ({rank: 0, instances: 1}),
		onUnreachable: () => undefined,
		log: silentLogger,
		metrics: silentMetrics,
		registrationIntervalMs: INTERVAL_MS,
		limits: createTestLimits(clock),
	});
	return {time, view};
}

function createRecord(index: number): AgedRecord {
	return {
		id: `e-${index}`,
		service: 's',
		address: `10.0.0.${index}:80`,
		dataCentre: 'a',
		state: 'ready',
		slots: 8,
		bornAt: 1,
		sequence: 1,
		ageMs: 0,
	};
}

function createReport(change: Partial<ControlReport> = {}): ControlReport {
	return {
		version: 1,
		controls: [],
		entries: 1,
		known: {epoch: 1, revision: 1},
		backends: [],
		convicted: [],
		...change,
	};
}

/** Ages as a control instance sends them that leaves out those up to the limit. */
function createAges(
	agesMs: Record<string, number>,
	readyCount: number,
): Partial<ControlReport> {
	return {agesMs, agesAboveMs: AGES_ABOVE_MS, readyCount};
}

describe('ages of registrations that a report leaves out', () => {
	it('count as recent when both sides have the same number of backend servers', () => {
		const {time, view} = createTestView();
		view.applyReport(createReport({backends: [0, 1].map(createRecord)}));
		time.now += 10_000;
		view.applyReport(createReport(createAges({'e-1': 10_000}, 2)));
		expect(view.readAvailability('e-0')).toBe('usable');
		expect(view.readAvailability('e-1')).toBe('silent');
		expect(view.createAgesRequest().agesAboveMs).toBe(AGES_ABOVE_MS);
	});

	// A control instance that restarted does not know a backend server that ended before.
	it('do not refresh a backend server that the control instance may not know', () => {
		const {time, view} = createTestView();
		view.applyReport(createReport({backends: [0, 1].map(createRecord)}));
		time.now += 10_000;
		view.applyReport(createReport(createAges({}, 1)));
		expect(view.createAgesRequest().agesAboveMs).toBe(AGES_ABOVE_MS);
		view.applyReport(createReport(createAges({}, 1)));
		expect(view.createAgesRequest().agesAboveMs).toBeUndefined();
		view.applyReport(createReport({agesMs: {'e-0': 100}, readyCount: 1}));
		expect(view.readAvailability('e-0')).toBe('usable');
		expect(view.readAvailability('e-1')).toBe('silent');
		expect(view.createAgesRequest().agesAboveMs).toBeUndefined();
	});

	// Until then, no registration counts as missed.
	it('are requested again at once after numbers that differ', () => {
		const {time, view} = createTestView();
		view.applyReport(createReport({backends: [0, 1].map(createRecord)}));
		view.applyReport(createReport(createAges({}, 2)));
		time.now += 1200;
		expect(view.createAgesRequest().wantsAges).toBe(true);
		view.applyReport(createReport(createAges({}, 1)));
		expect(view.createAgesRequest().wantsAges).toBe(true);
		view.applyReport(createReport(createAges({}, 2)));
		expect(view.createAgesRequest().wantsAges).toBe(false);
	});

	it('are left out again once the numbers agree', () => {
		const {view} = createTestView();
		view.applyReport(createReport({backends: [0, 1].map(createRecord)}));
		view.applyReport(createReport(createAges({}, 1)));
		view.applyReport(createReport(createAges({}, 1)));
		const agesMs = {'e-0': 0, 'e-1': 0};
		view.applyReport(createReport({agesMs, readyCount: 2}));
		expect(view.createAgesRequest().agesAboveMs).toBe(AGES_ABOVE_MS);
	});

	// Otherwise hundreds of entries that start at once would all request all ages.
	it('are not requested while backend servers are still being received', () => {
		const {view} = createTestView();
		[0, 1, 2].forEach((index) => {
			view.applyReport(
				createReport({
					backends: [createRecord(index)],
					hasMore: true,
					...createAges({}, 9),
				}),
			);
		});
		expect(view.createAgesRequest().agesAboveMs).toBe(AGES_ABOVE_MS);
	});

	it('are all expected from a control instance that does not leave any out', () => {
		const {time, view} = createTestView();
		view.applyReport(createReport({backends: [0, 1].map(createRecord)}));
		time.now += 10_000;
		view.applyReport(createReport({agesMs: {'e-0': 100}}));
		expect(view.readAvailability('e-0')).toBe('usable');
		expect(view.readAvailability('e-1')).toBe('silent');
	});
});
