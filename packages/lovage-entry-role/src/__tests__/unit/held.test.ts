import type {GenerationEvent} from '@lovagevalve/generation';
import {describe, expect, it} from 'vitest';
import {
	acknowledgeDeath,
	createServingEntry,
	listRefusals,
	failBackend,
	filterEffects,
	findStart,
} from '../fixture.js';

/** Creates an entry with a stream whose backend server died once. */
function createWithOneDeath() {
	const entry = createServingEntry();
	entry.announce('e3');
	const {backend} = findStart(entry.requestGeneration('s', {digest: 'x'}));
	const lost = failBackend(entry, 's');
	return {entry, lost, backend};
}

/** Creates an entry with a stream whose backend servers died twice. */
function createWithTwoDeaths() {
	const {entry, backend: first} = createWithOneDeath();
	acknowledgeDeath(entry, first);
	entry.now = 50;
	const {backend} = findStart(entry.tick());
	failBackend(entry, 's');
	entry.now = 100;
	return {entry, backend};
}

describe('a request whose backend server dies', () => {
	it('is placed again once the control group has acknowledged the death', () => {
		const {entry, lost, backend} = createWithOneDeath();
		expect(filterEffects(lost, 'start-attempt')).toEqual([]);
		entry.now = 100;
		expect(filterEffects(entry.tick(), 'start-attempt')).toEqual([]);
		acknowledgeDeath(entry, backend);
		entry.now = 150;
		expect(filterEffects(entry.tick(), 'start-attempt')).toHaveLength(1);
	});

	it('is reported if the server died before it accepted the attempt', () => {
		const entry = createServingEntry();
		entry.requestGeneration('s', {digest: 'x'});
		const tell = (event: GenerationEvent) =>
			entry.apply({kind: 'generation-event', stream: 's', event, random: 0.5});
		tell({kind: 'connection-lost', connection: 1, now: 0});
		tell({kind: 'probe-failed', probe: 1, now: 0});
		const lost = tell({kind: 'probe-failed', probe: 2, now: 0});
		expect(filterEffects(lost, 'report-death')).toMatchObject([
			{digests: ['label/x']},
		]);
	});

	it('is not listed in the death report if no connection was made', () => {
		const entry = createServingEntry();
		entry.requestGeneration('s', {digest: 'x'});
		const tell = (event: GenerationEvent) =>
			entry.apply({kind: 'generation-event', stream: 's', event, random: 0.5});
		tell({kind: 'connection-lost', connection: 1, isUnreached: true, now: 0});
		tell({kind: 'probe-failed', probe: 1, now: 0});
		const lost = tell({kind: 'probe-failed', probe: 2, now: 0});
		expect(filterEffects(lost, 'report-death')).toMatchObject([{digests: []}]);
	});

	it('is placed again after 500 ms without a quorum', () => {
		const {entry} = createWithOneDeath();
		entry.now = 450;
		expect(filterEffects(entry.tick(), 'start-attempt')).toEqual([]);
		entry.now = 500;
		expect(filterEffects(entry.tick(), 'start-attempt')).toHaveLength(1);
	});
});

describe('a request whose backend servers die repeatedly', () => {
	it('is placed again once the control group has acknowledged the last death', () => {
		const {entry, backend} = createWithTwoDeaths();
		expect(filterEffects(entry.tick(), 'start-attempt')).toEqual([]);
		acknowledgeDeath(entry, backend);
		entry.now = 150;
		expect(filterEffects(entry.tick(), 'start-attempt')).toHaveLength(1);
	});

	// Entries report the requests affected by one death tens of milliseconds apart.
	it('waits for reports of other affected requests while it is the leading suspect', () => {
		const {entry, backend} = createWithTwoDeaths();
		acknowledgeDeath(entry, backend, [], 'label/x');
		entry.now = 300;
		expect(filterEffects(entry.tick(), 'start-attempt')).toEqual([]);
		entry.now = 350;
		expect(filterEffects(entry.tick(), 'start-attempt')).toHaveLength(1);
	});

	it('is not placed on a backend server whose death another entry reported', () => {
		const {entry, backend} = createWithOneDeath();
		const dead = ['e1', 'e2', 'e3'].find((id) => id !== backend)!;
		entry.apply({
			kind: 'quarantine-learned',
			quarantine: {
				version: 8,
				suspects: ['label/x'],
				dead: [{backend: dead, incarnation: 1}],
				held: [],
				convicted: [],
			},
			now: entry.now,
			random: 0.5,
		});
		acknowledgeDeath(entry, backend);
		entry.now = 150;
		const [started] = filterEffects(entry.tick(), 'start-attempt');
		expect(started?.backend).not.toBe(dead);
		expect(started).toBeDefined();
	});

	it('waits while it is held and is refused once it is quarantined', () => {
		const {entry, backend} = createWithTwoDeaths();
		acknowledgeDeath(entry, backend, ['label/x']);
		entry.now = 9000;
		entry.renew();
		entry.announce('e1');
		expect(entry.tick()).toEqual([]);
		const effects = entry.apply({
			kind: 'quarantine-learned',
			quarantine: {version: 9, suspects: [], held: [], convicted: ['label/x']},
			now: entry.now,
			random: 0.5,
		});
		expect(listRefusals(effects)).toEqual(['quarantined']);
	});

	it('is refused if no quorum acknowledges the death in time', () => {
		const {entry} = createWithTwoDeaths();
		entry.now = 4049;
		expect(listRefusals(entry.tick())).toEqual([]);
		entry.now = 4050;
		const [refused] = filterEffects(entry.tick(), 'refuse-stream');
		expect(refused!.refusal.retryAfterMs).toBeGreaterThan(0);
	});
});

describe('a request of a service without backend servers', () => {
	it('is refused after 15 s', () => {
		const entry = createServingEntry();
		['e1', 'e2'].forEach((id) => {
			entry.announce(id, {state: 'leaving', sequence: 1});
		});
		entry.requestGeneration('s');
		entry.tick();
		entry.now = 14_999;
		expect(listRefusals(entry.tick())).toEqual([]);
		entry.now = 15_000;
		expect(listRefusals(entry.tick())).toEqual(['no-backend-server']);
	});
});
