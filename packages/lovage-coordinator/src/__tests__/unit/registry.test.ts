import type {BackendRecord, EntryReport} from '@lovagevalve/dispatch';
import {describe, expect, it} from 'vitest';
import {applyEntry, createRegistry, EMPTY_GROUP_STATE} from '../../index.js';

const silent = (): undefined => undefined;
const log = {debug: silent, info: silent, warn: silent, error: silent};

function createTestRegistry() {
	const time = {now: 0};
	const clock = {now: () => time.now, wall: () => time.now};
	return {time, registry: createRegistry(clock, log)};
}

const record: BackendRecord = {
	id: 'e-1',
	service: 'model',
	address: '10.0.0.1:80',
	dataCentre: 'a',
	state: 'ready',
	slots: 8,
	bornAt: 1,
	sequence: 1,
	heardAt: 0,
};

function createReport(
	entry: string,
	change: Partial<EntryReport> = {},
): EntryReport {
	return {
		entry,
		address: `${entry}:80`,
		dataCentre: 'a',
		standing: 'ready',
		version: 1,
		loads: {},
		crashes: [],
		...change,
	};
}

describe('createRegistry', () => {
	it('names an entry until it leaves or falls silent', () => {
		const {time, registry} = createTestRegistry();
		registry.takeReport(createReport('entry-1'));
		registry.takeReport(createReport('entry-2'));
		registry.takeReport(createReport('entry-3', {standing: 'starting'}));
		expect(registry.listServing().map(({entry}) => entry)).toEqual([
			'entry-1',
			'entry-2',
		]);
		registry.takeReport(createReport('entry-2', {standing: 'leaving'}));
		expect(registry.listServing()).toHaveLength(1);
		time.now = 5000;
		expect(registry.listServing()).toHaveLength(0);
	});

	it('tells an entry the work of the others', () => {
		const {registry} = createTestRegistry();
		const load = {running: 2, prefillTokens: 10, memoryTokens: 20};
		registry.takeReport(createReport('entry-1', {loads: {'e-1': load}}));
		registry.takeReport(createReport('entry-2', {loads: {'e-1': load}}));
		registry.takeReport(createReport('entry-3'));
		expect(registry.createAnswer({entry: 'entry-1'}).loads).toEqual({
			'e-1': load,
		});
		expect(
			registry.createAnswer({entry: 'entry-3'}).loads['e-1']?.running,
		).toBe(4);
	});

	it('takes a backend server that another instance heard of', () => {
		const {time, registry} = createTestRegistry();
		time.now = 1000;
		const {heardAt, ...rest} = record;
		registry.merge([{...rest, ageMs: heardAt + 300}]);
		expect(registry.find('e-1')?.heardAt).toBe(700);
	});

	it('tells the backend servers again only when one has changed', () => {
		const {registry} = createTestRegistry();
		registry.register(record);
		const {revision, backends} = registry.createAnswer({entry: 'entry-1'});
		expect(backends).toHaveLength(1);
		registry.register({...record, sequence: 2});
		const same = registry.createAnswer({entry: 'entry-1', revision});
		expect(same.backends).toBeUndefined();
		registry.register({...record, sequence: 3, state: 'draining'});
		const changed = registry.createAnswer({entry: 'entry-1', revision});
		expect(changed.backends?.[0]?.state).toBe('draining');
	});

	it('convicts a request by the crashes that several entries report', () => {
		const {registry} = createTestRegistry();
		['e-1', 'e-2', 'e-3'].forEach((backend, i) => {
			const crashes = [{digest: 'killer', backend}];
			registry.takeReport(createReport(`entry-${i}`, {crashes}));
		});
		expect(registry.createAnswer({entry: 'entry-9'}).convicted).toEqual([
			'killer',
		]);
	});
});

describe('applyEntry', () => {
	const createEntry = (index: number, version: number) => ({
		kind: 'command' as const,
		index,
		term: 1,
		data: JSON.stringify({version, text: `v${version}`}),
	});

	it('keeps the highest version, whatever comes later', () => {
		const state = [
			createEntry(1, 7),
			createEntry(2, 5),
			createEntry(3, 7),
		].reduce(applyEntry, EMPTY_GROUP_STATE);
		expect(state).toEqual({
			appliedIndex: 3,
			configuration: {version: 7, text: 'v7'},
		});
	});
});
