import type {BackendRecord, Occupancy} from '@lovagevalve/dispatch';
import {expect, it} from 'vitest';
import {createBrittleBackends} from '../../brittle-backends.js';
import {silentLogger, silentMetrics} from '../integration/harness.js';

const first: BackendRecord = {
	id: 'desk-1',
	service: 'desk',
	address: '10.0.0.1:80',
	dataCentre: 'a',
	state: 'ready',
	slots: 4,
	bornAt: 1,
	sequence: 1,
	heardAt: 0,
};
const restarted: BackendRecord = {...first, id: 'desk-1-2', bornAt: 2};

const calm: Occupancy = {
	ownRunning: 0,
	running: 1,
	serviceRunning: 1,
	backends: 1,
	slots: 4,
	ownSlots: 0,
	borrowers: 1,
};

function createTestState() {
	const time = {now: 100_000};
	const brittle = createBrittleBackends({
		clock: {now: () => time.now, wall: () => time.now},
		log: silentLogger,
		metrics: silentMetrics,
		random: () => 0,
		countEntries: () => 16,
	});
	const name = (backend: BackendRecord): void => {
		brittle.record(backend, {kind: 'named', perSecond: 4}, time.now);
	};

	return {time, brittle, name};
}

// The first notice was taken for a restart: entries without slots refused for a second.
it('uses slots of others at once where a backend server in service turns brittle', () => {
	const {time, brittle, name} = createTestState();
	brittle.recordKnown(first);
	time.now += 5000;
	name(first);
	expect(brittle.accepts(first, calm, false)).toBe(true);
});

it('uses no slots of others at a new incarnation for a second after its first notice', () => {
	const {time, brittle, name} = createTestState();
	brittle.recordKnown(restarted);
	time.now += 500;
	name(restarted);
	time.now += 900;
	expect(brittle.accepts(restarted, calm, false)).toBe(false);
	time.now += 100;
	expect(brittle.accepts(restarted, calm, false)).toBe(true);
});

it('uses no slots of others for a second after a backend server could not be reached', () => {
	const {time, brittle, name} = createTestState();
	brittle.recordKnown(first);
	name(first);
	time.now += 5000;
	brittle.recordUnreachable(first);
	time.now += 900;
	expect(brittle.accepts(first, calm, false)).toBe(false);
});

it('keeps the age of an incarnation when a late report names the one before', () => {
	const {time, brittle, name} = createTestState();
	const replaced = {...first, bornAt: 2};
	brittle.recordKnown(replaced);
	name(replaced);
	time.now += 2000;
	name(first);
	expect(brittle.accepts(replaced, calm, false)).toBe(true);
});

// With 16 entries, one with a single slot could not use it for 4 to 10 s.
it('cools down by the instances that own slots after a rejection of its own slot', () => {
	const {time, brittle, name} = createTestState();
	const own = {...calm, ownSlots: 1};
	brittle.recordKnown(first);
	name(first);
	brittle.recordRejection(first, own);
	time.now += 900;
	expect(brittle.accepts(first, own, false)).toBe(false);
	time.now += 200;
	expect(brittle.accepts(first, own, false)).toBe(true);
});

it('goes on using its own slot after a rejection of a borrowed one', () => {
	const {time, brittle, name} = createTestState();
	const busy = {...calm, ownSlots: 1, ownRunning: 1};
	brittle.recordKnown(first);
	time.now += 5000;
	name(first);
	expect(brittle.accepts(first, busy, false)).toBe(true);
	brittle.recordRejection(first, busy);
	expect(brittle.accepts(first, busy, false)).toBe(false);
	expect(brittle.accepts(first, {...busy, ownRunning: 0}, false)).toBe(true);
});

it('knows from other entries that a service is brittle', () => {
	const time = {now: 100_000};
	const brittle = createBrittleBackends({
		clock: {now: () => time.now, wall: () => time.now},
		log: silentLogger,
		metrics: silentMetrics,
		random: () => 0.5,
		countEntries: () => 16,
	});
	expect(brittle.isBrittle(restarted)).toBe(false);
	brittle.applyReport({'desk-1/1': {perSecond: 4, ageMs: 500, sent: 0}}, (id) =>
		[first, restarted].find((backend) => backend.id === id),
	);
	expect(brittle.isBrittle(restarted)).toBe(true);
	time.now += 5000;
	expect(brittle.isBrittle(restarted)).toBe(false);
});
