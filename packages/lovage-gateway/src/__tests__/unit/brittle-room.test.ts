import type {BackendRecord} from '@lovagevalve/dispatch';
import {expect, it} from 'vitest';
import {describeOccupancy, type RoomSources} from '../../brittle-room.js';

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
const second: BackendRecord = {
	...first,
	id: 'desk-2',
	address: '10.0.0.2:80',
};
const need = {memoryTokens: 0};

function createSources(change: Partial<RoomSources> = {}): RoomSources {
	return {
		listBackends: () => [first, second],
		countOwn: () => 1,
		countAtAddress: () => 1,
		countOthers: () => 2,
		readRank: () => ({rank: 0, instances: 4}),
		...change,
	};
}

it('sums the load of a backend server and of its service', () => {
	expect(describeOccupancy(first, need, createSources())).toEqual({
		ownRunning: 1,
		running: 3,
		serviceRunning: 6,
		backends: 2,
		slots: 4,
		ownSlots: 2,
		borrowers: 4,
	});
});

it('counts a request that was meant for the incarnation before', () => {
	const restarted = {...first, id: 'desk-1-2', bornAt: 2};
	const occupancy = describeOccupancy(
		restarted,
		need,
		createSources({countOwn: () => 0}),
	);
	expect(occupancy.ownRunning).toBe(1);
});

it('deals the same slots before and after a restart', () => {
	const ended = {...first, state: 'gone' as const};
	const restarted = {...first, id: 'desk-9', bornAt: 2};
	const before = describeOccupancy(second, need, createSources());
	const after = describeOccupancy(
		second,
		need,
		createSources({listBackends: () => [ended, restarted, second]}),
	);
	expect(after.ownSlots).toBe(before.ownSlots);
});
