import {type BackendRecord, fromAgedRecord} from '@lovagevalve/dispatch';
import {describe, expect, it} from 'vitest';
import {createRegistrationDoor, type Registry} from '../../index.js';
import {
	createTestRegistry,
	READY_RECORD,
	silentLogger,
} from './test-registry.js';

// A writer that registered ever new ids or versions filled the memory of all instances.

/** More than the bound of registrations, and of versions. */
const FLOOD = 4200;
const MAX = 4096;
const CHECK_INTERVAL_MS = 500;
const RECORD_RETENTION_MS = 120_000;

const record: BackendRecord = {...READY_RECORD, softwareVersion: 'v1'};

/** A control instance at whose door registrations arrive. */
function createInstance(time: {now: number}) {
	const clock = {now: () => time.now, wall: () => time.now};
	const lines: unknown[] = [];
	const refusals: unknown[] = [];
	const log = {
		...silentLogger,
		warn(message: string, context: unknown) {
			lines.push([message, context]);
		},
	};
	const {registry, versions} = createTestRegistry(clock, log);
	const hasRoom = createRegistrationDoor({
		clock,
		log,
		metrics: {
			count(_name, labels) {
				refusals.push(labels);
			},
		},
		registry,
		versions,
	});
	return {
		registry,
		versions,
		lines,
		refusals,
		register(next: BackendRecord): boolean {
			const isTaken = hasRoom(next);
			if (isTaken) {
				registry.register({...next, heardAt: time.now});
			}

			return isTaken;
		},
	};
}

function createBackend(name: string, i: number): BackendRecord {
	const address = `10.${name.codePointAt(0)! % 256}.${Math.floor(i / 256)}.${i % 256}:80`;
	return {...record, id: `${name}-${i}`, address};
}

function flood(
	register: (next: BackendRecord) => boolean,
	name: string,
): number {
	return Array.from({length: FLOOD}, (_, i) =>
		register(createBackend(name, i)),
	).filter(Boolean).length;
}

function tell(from: Registry, to: Registry): void {
	to.merge(from.listBackends());
}

describe('a control instance that ever new backend servers register at', () => {
	it('holds a bounded number, and says so in one line a second', () => {
		const {registry, lines, refusals, register} = createInstance({now: 0});
		expect(flood(register, 'f')).toBe(MAX);
		expect(registry.listBackends()).toHaveLength(MAX);
		expect(refusals).toHaveLength(FLOOD - MAX);
		expect(lines).toEqual([
			[
				'Refused a registration, as there is no room.',
				expect.objectContaining({decision: 'records-full', records: MAX}),
			],
		]);
	});

	it('keeps those that are registered, their heartbeats and departures', () => {
		const time = {now: 0};
		const {registry, register} = createInstance(time);
		expect(register(record)).toBe(true);
		flood(register, 'f');
		time.now = 1000;
		expect(register({...record, sequence: 2})).toBe(true);
		expect(registry.find('e-1')).toMatchObject({state: 'ready', heardAt: 1000});
		expect(register({...record, sequence: 3, state: 'draining'})).toBe(true);
		expect(register({...record, bornAt: 9})).toBe(true);
		expect(registry.find('e-1')).toMatchObject({state: 'ready', bornAt: 9});
	});

	it('has room again once silent ones have aged out', () => {
		const time = {now: 0};
		const {registry, register} = createInstance(time);
		flood(register, 'f');
		expect(register(record)).toBe(false);
		time.now = RECORD_RETENTION_MS;
		registry.removeExpired();
		expect(register(record)).toBe(true);
		expect(registry.listBackends()).toHaveLength(1);
	});

	it('takes what others have taken, so that all hold the same', () => {
		const time = {now: 0};
		const instances = ['a', 'b', 'c'].map((name) => ({
			name,
			...createInstance(time),
		}));
		// They are cut off from each other meanwhile.
		instances.forEach(({name, register}) => flood(register, name));
		instances.forEach(({registry: from}) => {
			instances
				.filter(({registry}) => registry !== from)
				.forEach(({registry}) => {
					tell(from, registry);
				});
		});
		const held = instances.map(({registry}) =>
			registry
				.listBackends()
				.map(({id}) => id)
				.toSorted(),
		);
		expect(held[0]).toHaveLength(MAX * 3);
		expect(held[1]).toEqual(held[0]);
		expect(held[2]).toEqual(held[0]);
		instances.forEach(({register}) => {
			expect(register(record)).toBe(false);
			// Whichever instance it registered at, all take its heartbeat.
			expect(register({...createBackend('a', 0), sequence: 2})).toBe(true);
		});
	});

	it('tells an entry of all that it holds', () => {
		const {registry, register} = createInstance({now: 0});
		flood(register, 'f');
		const ids = new Set<string>();
		let answer: ReturnType<Registry['createReportResponse']> | undefined;
		do {
			answer = registry.createReportResponse({
				entry: 'entry-1',
				known: answer?.known,
				wantsOverview: false,
				wantsAges: true,
			});
			answer.backends.forEach(({id}) => ids.add(id));
		} while (answer.hasMore === true);

		expect(ids.size).toBe(MAX);
		expect(answer.readyCount).toBe(MAX);
	});
});

describe('a control instance that ever new software versions register at', () => {
	it('holds a bounded number, and keeps those in service', () => {
		const time = {now: 0};
		const {registry, versions, register, lines} = createInstance(time);
		register(record);
		const taken = Array.from({length: FLOOD * 2}, (_, i) => {
			const isTaken = register({
				...createBackend('f', 0),
				softwareVersion: `f${i}`,
				bornAt: i,
			});
			time.now += CHECK_INTERVAL_MS / 5;
			if (i % 2 === 0) {
				registry.removeExpired();
				register({...record, sequence: i});
			}

			return isTaken;
		}).filter(Boolean).length;
		expect(taken).toBeLessThan(FLOOD * 2);
		expect(versions.count()).toBe(MAX);
		expect(Object.keys(versions.describe('model'))).toHaveLength(MAX);
		expect(versions.isKnown('model', 'v1')).toBe(true);
		expect(lines.at(-1)).toEqual([
			'Refused a registration, as there is no room.',
			expect.objectContaining({decision: 'versions-full', versions: MAX}),
		]);
		expect(register({...createBackend('g', 0), softwareVersion: 'v1'})).toBe(
			true,
		);
	});

	it('takes the versions that others have taken', () => {
		const time = {now: 0};
		const {registry, versions, register} = createInstance(time);
		Array.from({length: MAX}, (_, i) =>
			register({...createBackend('f', i), softwareVersion: `f${i}`}),
		);
		registry.removeExpired();
		expect(register({...record, id: 'f-0'})).toBe(false);
		const {heardAt, ...rest} = record;
		registry.merge([{...rest, ageMs: heardAt}]);
		registry.removeExpired();
		expect(versions.isKnown('model', 'v1')).toBe(true);
		expect(register(fromAgedRecord({...rest, ageMs: 0}, 0))).toBe(true);
		expect(versions.count()).toBe(MAX + 1);
	});
});
