import type {BackendRecord, PlacementRequest} from '@lovagevalve/dispatch';
import type {ServiceRollout} from '@lovagevalve/rollout';
import {beforeEach, expect, it} from 'vitest';
import type {ChooseBackend} from '../../backend-choice.js';
import {
	createRolloutVersions,
	type RolloutVersions,
} from '../../rollout-versions.js';

const noop = (): undefined => undefined;
const REQUEST: PlacementRequest = {
	dataCentre: 'a',
	promptTokens: 0,
	memoryTokens: 0,
	excluded: [],
	failedDataCentres: [],
};
const ORDER = {
	to: 'v2',
	durationMs: 9000,
	ageMs: 0,
	stage: 'running',
	step: 2,
} as const;

function createBackend(softwareVersion: string): BackendRecord {
	return {
		id: `e-${softwareVersion}`,
		service: 's',
		address: '127.0.0.1:1',
		dataCentre: 'a',
		state: 'ready',
		slots: 4,
		softwareVersion,
		bornAt: 1,
		sequence: 1,
		heardAt: 0,
	};
}

let served: readonly string[] = [];
let versions: RolloutVersions;

const chooseServed: ChooseBackend = (_, {softwareVersion}) =>
	served
		.filter((one) => softwareVersion === undefined || one === softwareVersion)
		.map(createBackend)[0];

beforeEach(() => {
	served = ['v1', 'v2', 'v3'];
	versions = createRolloutVersions({
		log: {debug: noop, info: noop, warn: noop, error: noop},
		metrics: {count: noop},
		initialCredit: 0.05,
	});
});

function decide(revision: number, rollout: ServiceRollout): void {
	versions.applyReport('c', {rollouts: {revision, services: [['s', rollout]]}});
}

function place(req: WeakKey = {}): string | undefined {
	const listed = versions.listVersions(req, 's');
	const choose = versions.limitChoice(chooseServed);
	const request =
		listed === undefined ? REQUEST : {...REQUEST, versions: listed};
	return choose('s', request, 0)?.softwareVersion;
}

function placeMany(count: number): readonly string[] {
	return Array.from({length: count}, () => place() ?? 'none');
}

it('limits nothing while nothing is decided', () => {
	served = ['v3'];
	expect(place()).toBe('v3');
});

it('gives the ordered version its share, and a version that no order allows nothing', () => {
	decide(1, {current: 'v1', allowed: ['v1', 'v2'], order: ORDER});
	const placed = placeMany(100);
	expect(placed.filter((version) => version === 'v2')).toHaveLength(10);
	expect(placed).not.toContain('v3');
	served = ['v3'];
	expect(place()).toBeUndefined();
});

it('draws once for a request, however often it is placed', () => {
	decide(1, {current: 'v1', allowed: ['v1', 'v2'], order: ORDER});
	const req = {};
	Array.from({length: 50}).forEach(() => {
		expect(place(req)).toBe('v1');
	});
});

it('gives a reverted version nothing, neither by an earlier draw nor to bound streams', () => {
	decide(1, {current: 'v1', allowed: ['v1', 'v2'], order: {...ORDER, step: 5}});
	const req = {};
	expect(place(req)).toBe('v2');
	decide(2, {
		current: 'v1',
		allowed: ['v1'],
		order: {...ORDER, stage: 'reverted'},
	});
	expect(place(req)).toBe('v1');
	const choose = versions.limitChoice(chooseServed);
	expect(choose('s', {...REQUEST, softwareVersion: 'v2'}, 0)).toBeUndefined();
	expect(choose('s', {...REQUEST, softwareVersion: 'v1'}, 0)).toBeDefined();
});

it('keeps its decisions when an instance reports older ones', () => {
	decide(5, {
		current: 'v1',
		allowed: ['v1'],
		order: {...ORDER, stage: 'reverted'},
	});
	decide(4, {current: 'v1', allowed: ['v1', 'v2'], order: {...ORDER, step: 5}});
	expect(new Set(placeMany(10))).toEqual(new Set(['v1']));
	expect(versions.createReport().rollouts.revision).toBe(5);
});

it('counts what it sends and what it gets by version and route', () => {
	decide(1, {current: 'v1', allowed: ['v1', 'v2'], order: ORDER});
	const reserve = versions.countSent((backend) => ({
		backend,
		markPrefilled: noop,
		release: noop,
	}));
	const old = reserve(createBackend('v1'), REQUEST);
	reserve(createBackend('v2'), REQUEST);
	versions.recordOutcome(createBackend('v2'), 'get', {kind: 'failed'});
	versions.recordOutcome(createBackend('v1'), 'get', {
		kind: 'answered',
		tookMs: 2,
	});
	expect(versions.createReport().rollouts.counts).toEqual({
		s: {
			to: 'v2',
			total: 2,
			exposed: 1,
			oldRunning: 1,
			routes: {get: [[1], [0, 0, 0, 1]]},
		},
	});
	old.release();
	old.release();
	expect(versions.createReport().rollouts.counts.s?.oldRunning).toBe(0);
	decide(2, {
		current: 'v2',
		allowed: ['v1', 'v2'],
		order: {...ORDER, stage: 'succeeded'},
	});
	expect(versions.createReport().rollouts.counts).toEqual({});
});
