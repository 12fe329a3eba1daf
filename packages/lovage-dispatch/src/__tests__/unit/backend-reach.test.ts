import {describe, expect, it} from 'vitest';
import {
	applyReachRound,
	chooseRelays,
	CONNECTED,
	type Reach,
} from '../../index.js';

const cutOff: Reach = {kind: 'cut-off', since: 5};

describe('applyReachRound', () => {
	it.each<readonly [string, Reach, number, number, Reach['kind']]>([
		['none accepts a connection', CONNECTED, 0, 3, 'cut-off'],
		['one of many accepts a connection', CONNECTED, 1, 5, 'connected'],
		['a few are reached again', cutOff, 1, 5, 'cut-off'],
		['most are reached again', cutOff, 3, 5, 'connected'],
		['no backend server is in service', cutOff, 0, 0, 'connected'],
	])('%s', (...row) => {
		const [, reach, reached, tried, kind] = row;
		expect(applyReachRound(reach, {reached, tried}, 9).kind).toBe(kind);
	});

	it('keeps the time since which a service is cut off', () => {
		const round = {reached: 0, tried: 2};
		expect(applyReachRound(cutOff, round, 9)).toEqual(cutOff);
	});
});

describe('chooseRelays', () => {
	const near = ['n1', 'n2'].map((address) => ({address, dataCentre: 'a'}));
	const far = Array.from({length: 20}, (_, i) => ({
		address: `f${i}`,
		dataCentre: 'b',
	}));

	it('names entries of the same data centre first', () => {
		const chosen = chooseRelays(
			[...far, ...near],
			{dataCentre: 'a', cutOff: 1},
			() => 0.5,
		);
		expect(chosen.slice(0, 2)).toEqual(['n1', 'n2']);
		expect(chosen).toHaveLength(8);
		expect(new Set(chosen).size).toBe(8);
	});

	// A hundred entries would otherwise send everything to the few that are left.
	it('spreads over all data centres when most entries of its own are cut off', () => {
		let draws = 0;
		const random = (): number => {
			draws += 1;
			return draws / 23;
		};

		const chosen = chooseRelays(
			[...far, ...near],
			{dataCentre: 'a', cutOff: 100},
			random,
		);
		expect(chosen).not.toContain('n1');
	});
});
