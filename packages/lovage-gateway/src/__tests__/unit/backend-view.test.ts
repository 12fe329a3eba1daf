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

describe('flooding backend servers that other entries met', () => {
	const request = {
		dataCentre: 'a',
		promptTokens: 0,
		memoryTokens: 0,
		excluded: [],
		failedDataCentres: [],
	};
	const overview = {loads: {}, retries: {}};

	function createFloodedView(count: number) {
		const test = createTestView();
		const {view} = test;
		view.applyReport(
			createReport({
				backends: Array.from({length: count}, (_, i) => createRecord(i)),
				...createAges({}, count),
			}),
		);
		const hear = (floods: Record<string, number>): void => {
			view.applyReport(createReport({overview: {...overview, floods}}));
		};

		const listChosen = (): readonly string[] => [
			...new Set(
				Array.from(
					{length: 20},
					(_, i) => view.choose('s', request, i / 20)?.id ?? 'none',
				),
			),
		];
		return {...test, hear, listChosen};
	}

	it('get no requests for as long as the entry that met them avoids them', () => {
		const {time, view, hear, listChosen} = createFloodedView(4);
		hear({'e-0/1': 500, 'e-1/2': 0});
		expect(listChosen()).toEqual(['e-1', 'e-2', 'e-3']);
		// An older control instance says nothing of them.
		view.applyReport(createReport({overview}));
		expect(listChosen()).toEqual(['e-1', 'e-2', 'e-3']);
		time.now += 9500;
		expect(listChosen()).toContain('e-0');
	});

	it('are used again when no entry tells of them any more', () => {
		const {hear, listChosen} = createFloodedView(4);
		hear({'e-0/1': 500});
		hear({});
		expect(listChosen()).toContain('e-0');
	});

	it('are not told of by those who only heard of them', () => {
		const {view, hear} = createFloodedView(4);
		hear({'e-0/1': 0});
		expect(view.createFloodReport()).toEqual({});
		view.reportHealth(view.find('e-1')!, 'flooded');
		expect(view.createFloodReport()).toEqual({'e-1/1': 0});
	});

	it('are used while they are all that a service has', () => {
		const {hear, listChosen} = createFloodedView(1);
		hear({'e-0/1': 0});
		expect(listChosen()).toEqual(['e-0']);
	});

	// A faulty entry names all of them.
	it('keep half of a service in use, and more while this entry avoids some itself', () => {
		const {view, hear, listChosen} = createFloodedView(4);
		hear({'e-0/1': 1, 'e-1/1': 2, 'e-2/1': 3, 'e-3/1': 4});
		expect(listChosen()).toEqual(['e-2', 'e-3']);
		view.reportHealth(view.find('e-3')!, 'flooded');
		expect(listChosen()).toEqual(['e-1', 'e-2']);
	});

	// Otherwise requests would go to servers that are perhaps gone.
	it('are believed as a share of those that were heard of recently', () => {
		const {time, view, hear, listChosen} = createFloodedView(4);
		time.now += 9000;
		view.applyReport(createReport(createAges({'e-2': 9000, 'e-3': 9000}, 4)));
		hear({'e-0/1': 1, 'e-1/1': 2});
		expect(listChosen()).toEqual(['e-1']);
	});

	it('bring a backend server with a limit no requests, unless it is the only one', () => {
		const {view, hear} = createFloodedView(2);
		[0, 1].forEach((index) => {
			view.recordNotice(
				view.find(`e-${index}`)!,
				{isLeaving: false, limit: {kind: 'named', perSecond: 100}},
				0,
			);
		});
		hear({'e-0/1': 0});
		const chosen = Array.from(
			{length: 20},
			() => view.choose('s', request, 0)?.id,
		);
		expect(chosen).toContain('e-1');
		expect(chosen).not.toContain('e-0');
	});
});
