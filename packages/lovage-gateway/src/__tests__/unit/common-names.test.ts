import {describe, expect, it} from 'vitest';
import {applyReportedAges, type PlacementRequest} from '@lovagevalve/dispatch';
import {createBackendView} from '../../backend-view.js';
import {createRetryBudgets} from '../../retry-budgets.js';
import {
	createTestBrittle,
	createTestLimits,
	silentLogger,
	silentMetrics,
} from '../integration/harness.js';

// Names that all objects have were taken for values of a report.
const NAMES = ['constructor', '__proto__', 'toString', 'hasOwnProperty'];
const time = {now: 100_000};
const clock = {now: () => time.now, wall: () => time.now};

const request: PlacementRequest = {
	dataCentre: 'a',
	promptTokens: 10,
	memoryTokens: 20,
	excluded: [],
	failedDataCentres: [],
	engine: undefined,
};

function createBackend(id: string, index: number) {
	return {
		id,
		service: 's',
		address: `10.0.0.${index + 1}:80`,
		dataCentre: 'a',
		state: 'ready' as const,
		slots: 8,
		bornAt: 1,
		sequence: 1,
	};
}

describe.each(NAMES)('a backend server with the id %s', (id) => {
	it('is chosen as any other that nothing is reported of', () => {
		const view = createBackendView({
			clock,
			brittle: createTestBrittle(clock),
			readRank: () => ({rank: 0, instances: 1}),
			onUnreachable: () => undefined,
			log: silentLogger,
			metrics: silentMetrics,
			registrationIntervalMs: 1000,
			limits: createTestLimits(clock),
		});
		const backends = [id, 'e-1'].map((name, i) => ({
			...createBackend(name, i),
			ageMs: 0,
		}));
		view.applyReport({
			version: 1,
			controls: [],
			entries: 1,
			known: {epoch: 1, revision: 1},
			backends,
			agesMs: {},
			agesAboveMs: 1500,
			readyCount: 2,
			overview: {serving: [], loads: {}, retries: {}},
			convicted: [],
		});
		expect(view.readAvailability(id)).toBe('usable');
		const drawn = Array.from({length: 8}, (_, i) => {
			const chosen = view.choose('s', request, i / 8);
			return chosen === undefined ? undefined : view.reserve(chosen, request);
		});
		const chosenIds = drawn.map((reservation) => reservation?.backend.id);
		expect(chosenIds.filter((chosen) => chosen === id)).toHaveLength(4);
	});

	it('keeps the time of its last registration', () => {
		const record = {...createBackend(id, 1), heardAt: 5};
		const table = applyReportedAges(new Map([[id, record]]), {}, 9);
		expect(table.get(id)?.heardAt).toBe(5);
	});
});

it.each(NAMES)('the service %s has a budget of retries', (service) => {
	const policy = {windowMs: 10_000, ratio: 0, extra: 4};
	const budgets = createRetryBudgets(
		policy,
		clock,
		() => 1,
		() => 0,
	);
	budgets.updateRemoteCounts({});
	budgets.countRequest(service);
	const spent = Array.from({length: 6}, () => budgets.spend(service, false));
	expect(spent).toEqual([true, true, true, true, false, false]);
	expect(budgets.readDemand(service)).toBeGreaterThan(0);
});
