import {decodeControlReport, decodeRanks} from '@lovagevalve/dispatch';
import {expect, it} from 'vitest';
import {createReport, createTestRegistry} from './test-registry.js';

const clock = {now: () => 0, wall: () => 0};

// An entry that counts its own work twice, or that of an entry which has nothing left,
// refuses streams that could be on time.
it('tells an entry what waits at the others, and at which', () => {
	const {registry} = createTestRegistry(clock);
	const addresses = {x: '10.1.0.3:1', y: '10.1.0.1:1', z: '10.1.0.2:1'};
	Object.entries(addresses).forEach(([entry, address]) => {
		registry.applyReport(
			createReport(entry, {
				address,
				...(entry === 'z' ? {} : {waiting: {'s/0': 100, 's/2': 50}}),
			}),
		);
	});
	const describe = (entry: string) => {
		const answer = registry.createReportResponse({
			entry,
			wantsOverview: true,
			wantsAges: false,
		});
		return decodeControlReport({
			version: 1,
			controls: [],
			convicted: [],
			...answer,
		})?.overview;
	};

	expect(describe('x')?.waiting).toEqual({'s/0': 100, 's/2': 50});
	expect(describe('z')?.waiting).toEqual({'s/0': 200, 's/2': 100});
	expect(decodeRanks(describe('z')?.waitingRanks ?? '')).toEqual([0, 2]);
	registry.applyReport(createReport('x', {address: addresses.x}));
	registry.applyReport(createReport('y', {address: addresses.y}));
	expect(describe('z')).not.toHaveProperty('waiting');
});
