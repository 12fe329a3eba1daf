import type {BackendRecord} from '@lovagevalve/dispatch';
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
