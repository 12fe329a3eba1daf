import {decodeControlReport} from '@lovagevalve/dispatch';
import type {RolloutCounts} from '@lovagevalve/rollout';
import {expect, it} from 'vitest';
import {decodeReport} from '../../decode-report.js';
import {createRolloutCounts} from '../../rollout-counts.js';
import {createReport} from './test-registry.js';

/** Counts of a route whose name is that of a member of all objects. */
function createRoutes(fresh: readonly number[]): RolloutCounts['routes'] {
	return Object.fromEntries([['constructor', [fresh, [0, 4]] as const]]);
}

const COUNTS: RolloutCounts = {
	to: 'v2',
	total: 10,
	exposed: 2,
	oldRunning: 3,
	routes: createRoutes([1]),
};

let now = 0;
const counts = createRolloutCounts({now: () => now});

function report(entry: string, change: Partial<RolloutCounts>): void {
	counts.applyReport({
		entry,
		rollouts: {revision: 1, counts: {s: {...COUNTS, ...change}}},
	});
}

it('sums what entries counted, also after one has started again', () => {
	report('a', {});
	report('b', {});
	now += 1000;
	report('a', {total: 15, routes: createRoutes([2])});
	report('b', {total: 1, exposed: 0, routes: {}});
	const {seconds, total, exposed, oldRunning} = counts.describe('s', 'v2', [
		'b',
	]);
	expect({total, exposed, oldRunning}).toEqual({
		total: 26,
		exposed: 4,
		oldRunning: 3,
	});
	expect(
		seconds.map((second) => second.get('constructor')?.fresh.failed),
	).toEqual([2, 1]);
	counts.keepOnly(new Map([['s', 'v3']]));
	expect(counts.describe('s', 'v2', []).total).toBe(0);
});

it('takes reports with and without roll-outs, and refuses malformed ones', () => {
	const rollouts = {revision: 1, counts: {s: COUNTS}};
	expect(decodeReport(createReport('a')).isOk()).toBe(true);
	expect(decodeReport(createReport('a', {rollouts})).isOk()).toBe(true);
	const malformed = {revision: 1, counts: {s: {...COUNTS, total: -1}}};
	expect(decodeReport(createReport('a', {rollouts: malformed})).isErr()).toBe(
		true,
	);
});

it('reads answers of instances with and without decisions', () => {
	const answer = {
		version: 1,
		controls: [],
		entries: 1,
		known: {epoch: 1, revision: 1},
		backends: [],
		convicted: [],
	};
	expect(decodeControlReport(answer)).toEqual(answer);
	const rollouts = {
		revision: 7,
		services: [['s', {current: 'v1', allowed: ['v1']}]],
	};
	expect(decodeControlReport({...answer, rollouts})).toEqual({
		...answer,
		rollouts,
	});
	expect(decodeControlReport({...answer, rollouts: {revision: 'x'}})).toEqual(
		answer,
	);
});
