import {describe, expect, it} from 'vitest';
import {
	applyRolloutCommand,
	decodeRollouts,
	drawVersion,
	EMPTY_ROLLOUTS,
	encodeRollouts,
	isRolloutCommand,
	isVersionAllowed,
	type RolloutCommand,
	type RolloutStage,
	type RolloutState,
	type ShareCredits,
	subtractCounts,
} from '../../index.js';

const FIRST: RolloutCommand = {
	kind: 'rollout-first',
	service: 's',
	version: 'v1',
};
const ORDER: RolloutCommand = {
	kind: 'rollout-order',
	service: 's',
	to: 'v2',
	durationMs: 12_000,
};

function change(stage: RolloutStage, step: number, to = 'v2'): RolloutCommand {
	return {kind: 'rollout-change', service: 's', to, ageMs: 1000, stage, step};
}

function applyAll(...commands: readonly RolloutCommand[]): RolloutState {
	return commands.reduce(applyRolloutCommand, EMPTY_ROLLOUTS);
}

describe('the state of roll-outs', () => {
	it('keeps a repeated order as it stands', () => {
		const once = applyAll(FIRST, ORDER, change('running', 2));
		expect(applyRolloutCommand(once, ORDER)).toBe(once);
		const reverted = applyAll(FIRST, ORDER, change('reverted', 2));
		expect(applyRolloutCommand(reverted, ORDER)).toBe(reverted);
	});

	it('keeps a running order when another version is ordered', () => {
		const running = applyAll(FIRST, ORDER);
		expect(applyRolloutCommand(running, {...ORDER, to: 'v3'})).toBe(running);
	});

	it('ignores late changes of a leader that was deposed', () => {
		const ended = applyAll(FIRST, ORDER, change('reverted', 2));
		expect(
			applyAll(FIRST, ORDER, change('reverted', 2), change('succeeded', 5)),
		).toEqual(ended);
		expect(
			applyAll(FIRST, ORDER, change('running', 3), change('running', 2)),
		).toEqual(applyAll(FIRST, ORDER, change('running', 3)));
	});

	it('allows the first version and those that orders name which are not reverted', () => {
		const running = applyAll(FIRST, ORDER).get('s');
		expect(isVersionAllowed(running, 'v1')).toBe(true);
		expect(isVersionAllowed(running, 'v2')).toBe(true);
		expect(isVersionAllowed(running, 'v3')).toBe(false);
		const reverted = applyAll(FIRST, ORDER, change('reverted', 0)).get('s');
		expect(reverted?.allowed).toEqual(['v1']);
		const succeeded = applyAll(FIRST, ORDER, change('succeeded', 5)).get('s');
		expect(succeeded?.allowed).toEqual(['v1', 'v2']);
		expect(succeeded?.current).toBe('v2');
	});

	it('survives its encoding, and reads what it does not know as nothing', () => {
		const state = applyAll(FIRST, ORDER, change('running', 3));
		const text = JSON.stringify(encodeRollouts(state));
		expect(decodeRollouts(JSON.parse(text))).toEqual(state);
		expect(decodeRollouts([['s', {allowed: [1]}], 'x', null])).toEqual(
			EMPTY_ROLLOUTS,
		);
		expect(decodeRollouts(undefined)).toEqual(EMPTY_ROLLOUTS);
	});

	it('refuses malformed commands', () => {
		expect(isRolloutCommand({...ORDER, durationMs: 0})).toBe(false);
		expect(isRolloutCommand({...ORDER, to: ''})).toBe(false);
		expect(isRolloutCommand({...change('running', 1), step: 99})).toBe(false);
		expect(isRolloutCommand({version: 1, text: ''})).toBe(false);
	});
});

function drawMany(
	state: RolloutState,
	entries: number,
	each: number,
): readonly string[] {
	return Array.from({length: entries}).flatMap((_, entry) => {
		let credits: ShareCredits = new Map();
		return Array.from({length: each}).map(() => {
			const draw = drawVersion('s', state.get('s')!, credits, entry / entries);
			({credits} = draw);
			return draw.versions[0]!;
		});
	});
}

describe('the share of a version', () => {
	it('is kept over all entries although each has little traffic', () => {
		const drawn = drawMany(applyAll(FIRST, ORDER, change('running', 2)), 79, 3);
		const fresh = drawn.filter((version) => version === 'v2').length;
		expect(Math.abs(fresh - 79 * 3 * 0.1)).toBeLessThanOrEqual(1);
	});

	it('gives a running version nothing in place of one without servers', () => {
		const {versions} = drawVersion(
			's',
			applyAll(FIRST, ORDER).get('s')!,
			new Map(),
			0,
		);
		expect(versions).toEqual(['v1']);
	});

	it('is nothing after a reversal and everything after success', () => {
		const reverted = applyAll(FIRST, ORDER, change('reverted', 3));
		expect(new Set(drawMany(reverted, 5, 20))).toEqual(new Set(['v1']));
		const succeeded = applyAll(FIRST, ORDER, change('succeeded', 5));
		expect(new Set(drawMany(succeeded, 5, 20))).toEqual(new Set(['v2']));
	});
});

it('counts all that an entry reports after its restart', () => {
	expect(
		subtractCounts({failed: 1, byTime: [0, 2]}, {failed: 3, byTime: [1, 1]}),
	).toEqual({failed: 1, byTime: [0, 2]});
	expect(
		subtractCounts({failed: 4, byTime: [1, 3, 1]}, {failed: 3, byTime: [1, 1]}),
	).toEqual({failed: 1, byTime: [0, 2, 1]});
});
