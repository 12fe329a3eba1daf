import type {KnownRevision} from '@lovagevalve/dispatch';
import {describe, expect, it} from 'vitest';
import {applyEntry, EMPTY_GROUP_STATE, type Registry} from '../../index.js';
import {
	createReport,
	createTestRegistry as createTestRegistryAt,
	READY_RECORD as record,
} from './test-registry.js';

function createTestRegistry(isFirstStart = true) {
	const time = {now: 0};
	const clock = {now: () => time.now, wall: () => time.now};
	return {time, ...createTestRegistryAt(clock, undefined, isFirstStart)};
}

const reportRequest = {entry: 'entry-9', wantsOverview: true, wantsAges: false};

describe('createRegistry', () => {
	it('advertises an entry until it leaves or times out', () => {
		const {time, registry} = createTestRegistry();
		registry.applyReport(createReport('entry-1'));
		registry.applyReport(createReport('entry-2'));
		registry.applyReport(createReport('entry-3', {standing: 'starting'}));
		expect(registry.listServing().map(({entry}) => entry)).toEqual([
			'entry-1',
			'entry-2',
		]);
		registry.applyReport(createReport('entry-2', {standing: 'leaving'}));
		expect(registry.listServing()).toHaveLength(1);
		time.now = 5000;
		expect(registry.listServing()).toHaveLength(0);
	});

	it('sends an entry the load of the other entries', () => {
		const {registry} = createTestRegistry();
		const load = [2, 10, 20] as const;
		registry.applyReport(createReport('entry-1', {loads: {'e-1': load}}));
		registry.applyReport(createReport('entry-2', {loads: {'e-1': load}}));
		registry.applyReport(createReport('entry-3'));
		const readLoads = (entry: string) =>
			registry.createReportResponse({...reportRequest, entry}).overview?.loads;
		expect(readLoads('entry-1')).toEqual({'e-1': load});
		expect(readLoads('entry-3')).toEqual({'e-1': [4, 20, 40]});
	});

	// Load pattern: entries that started together report at the same moment. With
	// loads of the moment before, all of them choose the same backend server.
	it('sends the load that other entries reported at the same moment', () => {
		const {registry} = createTestRegistry();
		const load = [2, 10, 20] as const;
		const answers = ['entry-1', 'entry-2', 'entry-3'].map((entry) => {
			registry.applyReport(createReport(entry, {loads: {'e-1': load}}));
			return registry.createReportResponse({...reportRequest, entry});
		});
		expect(answers.map(({overview}) => overview!.loads)).toEqual([
			{},
			{'e-1': load},
			{'e-1': [4, 20, 40]},
		]);
	});

	it('replaces the load of an entry with its next report', () => {
		const {registry} = createTestRegistry();
		const load = [2, 10, 20] as const;
		registry.applyReport(createReport('entry-1', {loads: {'e-1': load}}));
		registry.applyReport(createReport('entry-2', {loads: {'e-1': load}}));
		registry.applyReport(createReport('entry-2', {loads: {'e-2': load}}));
		registry.applyReport(createReport('entry-1'));
		const {overview} = registry.createReportResponse(reportRequest);
		expect(overview?.loads).toEqual({'e-2': load});
	});

	it('tells an entry of the flooding backend servers that others met', () => {
		const {time, registry} = createTestRegistry();
		registry.register(record);
		const floods = {'e-1/1': 20, 'e-1/2': 20, 'e-2/1': 20};
		registry.applyReport(createReport('entry-1', {floods}));
		registry.applyReport(createReport('entry-2'));
		time.now = 100;
		const readFloods = (entry: string) =>
			registry.createReportResponse({...reportRequest, entry}).overview?.floods;
		expect(readFloods('entry-1')).toEqual({});
		expect(readFloods('entry-2')).toEqual({'e-1/1': 120});
		registry.register({...record, bornAt: 2});
		registry.applyReport(createReport('entry-2'));
		expect(readFloods('entry-2')).toEqual({});
	});

	it('leaves the requests in progress unknown while one entry does not report them', () => {
		const {registry} = createTestRegistry();
		const retries = {s: {requests: 5, retries: 1}};
		registry.applyReport(createReport('entry-1', {retries}));
		registry.applyReport(
			createReport('entry-2', {retries: {s: {...retries.s, active: 3}}}),
		);
		const readCounts = () =>
			registry.createReportResponse(reportRequest).overview?.retries;
		expect(readCounts()).toEqual({s: {requests: 10, retries: 2}});
		registry.applyReport(
			createReport('entry-1', {retries: {s: {...retries.s, active: 4}}}),
		);
		expect(readCounts()).toEqual({s: {requests: 10, retries: 2, active: 7}});
	});

	it('counts a backend server as draining once an entry reports that it leaves', () => {
		const {registry} = createTestRegistry();
		registry.register(record);
		registry.takePendingGossip();
		const {known} = registry.createReportResponse(reportRequest);
		registry.applyReport(createReport('entry-1', {leaving: ['e-1/1']}));
		const {backends} = registry.createReportResponse({...reportRequest, known});
		expect(backends).toMatchObject([{id: 'e-1', state: 'draining'}]);
		expect(registry.takePendingGossip()).toHaveLength(1);
		registry.register({...record, sequence: 2});
		expect(registry.find('e-1')?.state).toBe('draining');
		registry.register({...record, bornAt: 2, sequence: 1});
		registry.applyReport(createReport('entry-1', {leaving: ['e-1/1']}));
		expect(registry.find('e-1')?.state).toBe('ready');
	});

	it('sends the advertised entries again only after they have changed', () => {
		const {registry} = createTestRegistry();
		registry.applyReport(createReport('entry-1'));
		registry.applyReport(createReport('entry-2'));
		const readOverview = (knownServing?: KnownRevision) =>
			registry.createReportResponse({...reportRequest, knownServing}).overview!;
		const first = readOverview();
		expect(first.serving).toHaveLength(2);
		expect(readOverview(first.servingRevision).serving).toBeUndefined();
		const foreign = {epoch: 99, revision: first.servingRevision!.revision};
		expect(readOverview(foreign).serving).toHaveLength(2);
		registry.applyReport(createReport('entry-2', {standing: 'leaving'}));
		const changed = readOverview(first.servingRevision);
		expect(changed.serving).toEqual(['entry-1:80']);
		expect(readOverview(changed.servingRevision).serving).toBeUndefined();
	});

	it('sends the machines of entries only where callers get different entries', () => {
		const {registry} = createTestRegistry();
		const readOverview = (knownServing?: KnownRevision) =>
			registry.createReportResponse({...reportRequest, knownServing}).overview!;
		registry.applyReport(createReport('entry-1', {capacity: 1}));
		registry.applyReport(createReport('entry-2', {capacity: 1.1}));
		const alike = readOverview();
		expect(alike).toHaveProperty('serving');
		expect(alike).not.toHaveProperty('servingMachines');
		registry.applyReport(createReport('entry-2', {capacity: 2}));
		const changed = readOverview(alike.servingRevision);
		expect(changed.servingMachines).toEqual([
			['a', 1],
			['a', 2],
		]);
		const known = readOverview(changed.servingRevision);
		expect(known).not.toHaveProperty('servingMachines');
	});

	// Each entry receives five answers a second from the same control instance.
	it('answers entries in steady state with the same number of bytes, however many there are', () => {
		const measureAnswer = (entries: number): number => {
			const {registry} = createTestRegistry();
			for (let i = 0; i < entries; i += 1) {
				const loads = {'e-1': [1, 10, 20]} as const;
				registry.applyReport(createReport(`entry-${i}`, {loads}));
			}

			const {known, overview} = registry.createReportResponse(reportRequest);
			const answer = registry.createReportResponse({
				...reportRequest,
				known,
				knownServing: overview!.servingRevision,
			});
			return JSON.stringify(answer).length;
		};

		expect(measureAnswer(400) / measureAnswer(100)).toBeLessThan(1.1);
	});

	const registerMany = (registry: Registry, count: number): void => {
		for (let i = 0; i < count; i += 1) {
			registry.register({
				...record,
				id: `e-${i}`,
				address: `10.0.${Math.floor(i / 250)}.${i % 250}:80`,
			});
		}
	};

	// Once a second, each entry receives an answer with ages.
	it('answers with the same number of bytes, however many backend servers are in service', () => {
		const measureAnswer = (backends: number): number => {
			const {time, registry} = createTestRegistry();
			registerMany(registry, backends);
			time.now = 800;
			const {known} = registry.createReportResponse(reportRequest);
			const answer = registry.createReportResponse({
				...reportRequest,
				known: {...known, revision: backends + 1},
				wantsAges: true,
				agesAboveMs: 1500,
			});
			return JSON.stringify(answer).length;
		};

		expect(measureAnswer(3000) / measureAnswer(300)).toBeLessThan(1.1);
	});

	it('leaves out the ages up to a limit, and says how many are in service', () => {
		const {time, registry} = createTestRegistry();
		registerMany(registry, 3);
		time.now = 2000;
		registry.register({...record, id: 'e-0', address: '10.0.0.0:80'});
		registry.register({
			...record,
			id: 'e-1',
			address: '10.0.0.1:80',
			sequence: 2,
			heardAt: 2000,
		});
		const {agesMs, agesAboveMs, readyCount} = registry.createReportResponse({
			...reportRequest,
			wantsAges: true,
			agesAboveMs: 1500,
		});
		expect(agesMs).toEqual({'e-0': 2000, 'e-2': 2000});
		expect(agesAboveMs).toBe(1500);
		expect(readyCount).toBe(3);
	});

	// Load pattern: hundreds of entries start at once and need all backend servers.
	it('sends many backend servers in parts, each of them once', () => {
		const {registry} = createTestRegistry();
		registerMany(registry, 1000);
		const received: string[] = [];
		let known: KnownRevision | undefined;
		let isComplete = false;
		while (!isComplete) {
			const answer = registry.createReportResponse({...reportRequest, known});
			expect(JSON.stringify(answer.backends).length).toBeLessThan(32_000);
			received.push(...answer.backends.map(({id}) => id));
			known = answer.known;
			isComplete = answer.hasMore !== true;
		}

		expect(received).toHaveLength(1000);
		expect(new Set(received).size).toBe(1000);
	});

	it('sends a backend server again that changed between two parts', () => {
		const {registry} = createTestRegistry();
		registerMany(registry, 200);
		const first = registry.createReportResponse(reportRequest);
		registry.register({
			...record,
			id: 'e-0',
			address: '10.0.0.0:80',
			state: 'draining',
			sequence: 2,
		});
		const second = registry.createReportResponse({
			...reportRequest,
			known: first.known,
		});
		const all = [...first.backends, ...second.backends];
		expect(second.hasMore).toBeUndefined();
		expect(all).toHaveLength(201);
		expect(all.at(-1)).toMatchObject({id: 'e-0', state: 'draining'});
	});

	it('leaves the load of an entry that timed out out of the sums', () => {
		const {time, registry} = createTestRegistry();
		const load = [2, 10, 20] as const;
		registry.applyReport(createReport('entry-1', {loads: {'e-1': load}}));
		time.now = 1000;
		registry.applyReport(createReport('entry-2', {loads: {'e-1': load}}));
		time.now = 2000;
		registry.applyReport(createReport('entry-3'));
		expect(
			registry.createReportResponse({...reportRequest, entry: 'entry-3'})
				.overview?.loads,
		).toEqual({'e-1': load});
	});

	it('merges a backend server from another instance with its age', () => {
		const {time, registry} = createTestRegistry();
		time.now = 1000;
		const {heardAt, ...rest} = record;
		registry.merge([{...rest, ageMs: heardAt + 300}]);
		expect(registry.find('e-1')?.heardAt).toBe(700);
	});

	it('sends only the backend servers that changed since the known revision', () => {
		const {registry} = createTestRegistry();
		registry.register(record);
		registry.register({...record, id: 'e-2', address: '10.0.0.2:80'});
		const first = registry.createReportResponse(reportRequest);
		expect(first.backends).toHaveLength(2);
		registry.register({...record, sequence: 2});
		const same = registry.createReportResponse({
			...reportRequest,
			known: first.known,
		});
		expect(same.backends).toEqual([]);
		registry.register({...record, sequence: 3, state: 'draining'});
		const changed = registry.createReportResponse({
			...reportRequest,
			known: first.known,
		});
		expect(changed.backends).toMatchObject([{id: 'e-1', state: 'draining'}]);
	});

	it('reports the previous backend server at an address as gone', () => {
		const {registry} = createTestRegistry();
		registry.register(record);
		const {known} = registry.createReportResponse(reportRequest);
		registry.register({...record, id: 'e-2', bornAt: 9});
		const {backends} = registry.createReportResponse({...reportRequest, known});
		expect(backends.map(({id, state}) => [id, state])).toEqual([
			['e-1', 'gone'],
			['e-2', 'ready'],
		]);
	});

	it('sends everything to an entry that knows another epoch', () => {
		const {registry} = createTestRegistry();
		registry.register(record);
		const known = {epoch: 7, revision: 99};
		expect(
			registry.createReportResponse({...reportRequest, known}).backends,
		).toHaveLength(1);
	});

	it('sends ages and the overview only on request', () => {
		const {time, registry} = createTestRegistry();
		registry.register(record);
		time.now = 700;
		const plain = {...reportRequest, wantsOverview: false};
		expect(registry.createReportResponse(plain).overview).toBeUndefined();
		expect(registry.createReportResponse(plain).agesMs).toBeUndefined();
		const aged = registry.createReportResponse({...plain, wantsAges: true});
		expect(aged.agesMs).toEqual({'e-1': 700});
	});

	it('gossips its own registrations, but not merged records, once', () => {
		const {registry} = createTestRegistry();
		registry.register(record);
		registry.merge([{...record, id: 'e-2', address: '10.0.0.2:80', ageMs: 0}]);
		expect(registry.takePendingGossip().map(({id}) => id)).toEqual(['e-1']);
		expect(registry.takePendingGossip()).toEqual([]);
	});
});

describe('applyEntry', () => {
	const createEntry = (index: number, version: number) => ({
		kind: 'command' as const,
		index,
		term: 1,
		data: JSON.stringify({version, text: `v${version}`}),
	});

	it('keeps the highest version regardless of the order', () => {
		const state = [
			createEntry(1, 7),
			createEntry(2, 5),
			createEntry(3, 7),
		].reduce(applyEntry, EMPTY_GROUP_STATE);
		expect(state).toEqual({
			...EMPTY_GROUP_STATE,
			appliedIndex: 3,
			configuration: {version: 7, text: 'v7'},
		});
	});
});

describe('origins of streams', () => {
	const query = {key: 'k-1', services: ['model']};

	it('are known from the report of any entry until its caller can no longer resume', () => {
		const {time, registry} = createTestRegistry();
		registry.applyReport(
			createReport('entry-1', {origins: [['k-1', 'model', 'v1', 5000]]}),
		);
		time.now = 4999;
		expect(registry.findOrigin(query).origin).toEqual({
			service: 'model',
			softwareVersion: 'v1',
		});
		time.now = 5001;
		registry.applyReport(
			createReport('entry-2', {origins: [['k-2', 'model', 'v1', 5000]]}),
		);
		expect(registry.findOrigin(query)).not.toHaveProperty('origin');
	});

	// An entry that was cut off had the stream begun at two others, one after the other.
	it('are none where two were reported under one id', () => {
		const {registry} = createTestRegistry();
		['v1', 'v2', 'v1'].forEach((version, i) => {
			registry.applyReport(
				createReport(`entry-${i}`, {
					origins: [['k-1', 'model', version, 5000]],
				}),
			);
		});
		expect(registry.findOrigin(query)).toMatchObject({isAmbiguous: true});
		expect(registry.findOrigin(query)).not.toHaveProperty('origin');
	});

	it('are none where the backend server had started again as another version', () => {
		const {time, registry} = createTestRegistry();
		time.now = 10_000;
		registry.register({...record, softwareVersion: 'v1'});
		registry.applyReport(
			createReport('entry-1', {
				origins: [['k-1', 'model', 'v1', 5000, 'e-1/1', 100]],
			}),
		);
		expect(registry.findOrigin(query).origin).toEqual({
			service: 'model',
			softwareVersion: 'v1',
		});
		registry.register({...record, softwareVersion: 'v2', bornAt: 9800});
		expect(registry.findOrigin(query)).toMatchObject({isAmbiguous: true});
		expect(registry.findOrigin(query)).not.toHaveProperty('origin');
	});

	it('tell software versions that have left, and since when they are known', () => {
		const {time, registry} = createTestRegistry(false);
		registry.register({...record, softwareVersion: 'v1'});
		registry.register({
			...record,
			id: 'e-2',
			address: '10.0.0.2:80',
			softwareVersion: 'v2',
		});
		registry.removeExpired();
		time.now = 1000;
		registry.register({...record, softwareVersion: 'v1', state: 'gone'});
		time.now = 3000;
		expect(registry.findOrigin({services: ['model']})).toEqual({
			knownForMs: 3000,
			versions: {model: {v1: 3000, v2: 0}},
		});
	});

	it('know all versions from the first start of the system on', () => {
		const {registry} = createTestRegistry();
		expect(registry.findOrigin(query).knownForMs).toBe(Number.MAX_SAFE_INTEGER);
	});
});

// A control instance of an earlier build passes records on without the version.
it('keeps the software version of an incarnation that a report leaves out', () => {
	const {registry} = createTestRegistry();
	registry.register({...record, softwareVersion: 'v1'});
	const {heardAt, ...rest} = record;
	registry.merge([{...rest, sequence: 2, ageMs: heardAt}]);
	expect(registry.find('e-1')).toMatchObject({
		softwareVersion: 'v1',
		sequence: 2,
	});
});
