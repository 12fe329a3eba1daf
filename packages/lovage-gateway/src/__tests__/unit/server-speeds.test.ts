import {
	type BackendRecord,
	type BackendLoad,
	type CompactSpeeds,
	NO_LOAD,
	type PlacementRequest,
} from '@lovagevalve/dispatch';
import {describe, expect, it} from 'vitest';
import {createLoadReservations} from '../../load-reservations.js';
import {createServerSpeeds} from '../../server-speeds.js';
import {silentLogger, silentMetrics} from '../integration/harness.js';

const PROMPT_TOKENS = 5000;
const ENGINE_REQUEST: PlacementRequest = {
	dataCentre: 'a',
	promptTokens: PROMPT_TOKENS,
	memoryTokens: PROMPT_TOKENS,
	excluded: [],
	failedDataCentres: [],
	engine: {slots: 16, memoryTokens: 55_000, canBackUp: false, canCopy: false},
};

function createBackend(id: string, bornAt = 1): BackendRecord {
	return {
		id,
		service: 's',
		address: '10.0.0.1:80',
		dataCentre: 'a',
		state: 'ready',
		slots: 16,
		bornAt,
		sequence: 1,
		heardAt: 0,
	};
}

function createTestSpeeds(initial: readonly BackendRecord[]) {
	const time = {now: 100_000};
	const lines: string[] = [];
	const backends = new Map(initial.map((one) => [one.id, one]));
	const reservations = createLoadReservations();
	const speeds = createServerSpeeds({
		clock: {now: () => time.now, wall: () => time.now},
		log: {
			...silentLogger,
			info(message) {
				lines.push(message);
			},
		},
		metrics: silentMetrics,
		listAll: () => backends.values(),
		listRegistered: () => [...backends.values()],
	});
	return {
		time,
		lines,
		backends,
		speeds,
		/** Measures a prompt that an engine processes in `ms`. */
		measure(backend: BackendRecord, ms: number, load: BackendLoad = NO_LOAD) {
			const reservation = reservations.reserve(backend, ENGINE_REQUEST);
			speeds.recordSending(reservation, ENGINE_REQUEST, load);
			time.now += ms;
			speeds.recordEvent({
				backend,
				isRelayed: false,
				hasCopy: false,
				reservation,
				startedAt: undefined,
				lastEventAt: 0,
			});
			reservation.release();
		},
	};
}

describe('learned speeds of an entry', () => {
	it('count the prompt tokens ahead of a request and its own', () => {
		const backend = createBackend('e-1');
		const {speeds, measure} = createTestSpeeds([backend]);
		expect(speeds.readTokensPerMs(backend)).toBeUndefined();
		measure(backend, 2000, {...NO_LOAD, running: 1, prefillTokens: 5000});
		expect(speeds.readTokensPerMs(backend)).toBeCloseTo(5);
	});

	// The process that replaced a slow one may be fast.
	it('begin at the median for another incarnation', () => {
		const slow = createBackend('e-1');
		const others = [2, 3, 4].map((index) => createBackend(`e-${index}`));
		const {backends, speeds, measure} = createTestSpeeds([slow, ...others]);
		others.forEach((backend) => {
			measure(backend, 1000);
		});
		measure(slow, 5000);
		expect(speeds.readTokensPerMs(slow)).toBeLessThan(3);
		const replaced = createBackend('e-1', 2);
		backends.set('e-1', replaced);
		speeds.removeEnded((id) => backends.get(id));
		expect(speeds.readTokensPerMs(replaced)).toBeCloseTo(5);
	});

	it('are reported once a second, and only what is new', () => {
		const [first, second] = [createBackend('e-1'), createBackend('e-2')];
		const {time, speeds, measure} = createTestSpeeds([first, second]);
		measure(first, 1000);
		time.now += 1;
		expect(Object.keys(speeds.createReport('c').speeds ?? {})).toEqual([
			'e-1/1',
		]);
		measure(second, 500);
		expect(speeds.createReport('c')).toEqual({});
		time.now += 500;
		expect(Object.keys(speeds.createReport('c').speeds ?? {})).toEqual([
			'e-2/1',
		]);
		// Another primary control instance has not received any.
		expect(Object.keys(speeds.createReport('d').speeds ?? {})).toHaveLength(2);
	});

	it('of other entries begin to place requests, and fade when reports stop', () => {
		const backends = Array.from({length: 12}, (_, index) =>
			createBackend(`e-${index}`),
		);
		const {time, lines, speeds} = createTestSpeeds(backends);
		const createSums = (samples: number): CompactSpeeds =>
			Object.fromEntries(
				backends.map(({id}, index) => {
					const speed = index % 3 === 0 ? 8 : 3.5;
					return [
						`${id}/1`,
						[samples, samples * speed * 1000, samples * 1000, 0, 0],
					];
				}),
			);
		Array.from({length: 5}).forEach(() => {
			speeds.applyReport(createSums(10));
			time.now += 1000;
		});
		expect(speeds.findReader('s')?.(backends[0]!)?.speed).toBeGreaterThan(1.8);
		expect(lines).toEqual(['Placing requests of a service by learned speeds.']);
		time.now += 60_000;
		expect(speeds.findReader('s')).toBeUndefined();
		expect(lines).toHaveLength(2);
	});
});
