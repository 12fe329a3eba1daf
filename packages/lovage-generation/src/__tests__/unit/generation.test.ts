import {describe, expect, it} from 'vitest';
import {
	ALL_GUARDS,
	createGeneration,
	getDetectionPolicy,
	getNextDeadline,
	stepGeneration,
	type GenerationEffect,
	type GenerationEvent,
	type GenerationGuards,
	type GenerationStart,
	type GenerationState,
} from '../../index.js';

const POLICY = getDetectionPolicy('resume-latency');

const NEW: GenerationStart = {kind: 'new'};

function createState(start = NEW, guards: Partial<GenerationGuards> = {}) {
	return createGeneration(
		{
			id: 'g',
			policy: POLICY,
			retryLimit: 3,
			start,
			guards: {...ALL_GUARDS, ...guards},
		},
		0,
	).state;
}

function run(state: GenerationState, events: readonly GenerationEvent[]) {
	const effects: GenerationEffect[] = [];
	const last = events.reduce((current, event) => {
		const transition = stepGeneration(current, event);
		effects.push(...transition.effects);
		return transition.state;
	}, state);
	return {state: last, effects};
}

function createChunk(
	offset: number,
	now: number,
	other: Partial<Extract<GenerationEvent, {kind: 'chunk-received'}>> = {},
): GenerationEvent {
	return {
		kind: 'chunk-received',
		connection: 1,
		generation: 'g',
		attempt: 1,
		offset,
		count: 1,
		now,
		...other,
	};
}

const placed: GenerationEvent = {kind: 'placed', backend: 'a', now: 0};

function createChunks(tokens: number): readonly GenerationEvent[] {
	return Array.from({length: tokens}, (_, i) => createChunk(i, 20 * (i + 1)));
}

function listKinds(effects: readonly GenerationEffect[]) {
	return effects.map((effect) => effect.kind);
}

describe('a refusal', () => {
	// It may be one of another attempt, and this one may run.
	it.each([
		[true, ['close', 'cancel', 'place']],
		[false, ['close', 'cancel', 'fail']],
	])('cancels the attempt (transient: %s)', (transient, kinds) => {
		const {effects} = run(createState(), [
			placed,
			{kind: 'backend-refused', connection: 1, transient, now: 10},
		]);
		expect(listKinds(effects.slice(-3))).toEqual(kinds);
	});
});

describe('detection', () => {
	it('probes after a silence that is long for this attempt', () => {
		const {state} = run(createState(), [placed, ...createChunks(20)]);
		expect(getNextDeadline(state)).toBe(400 + POLICY.minimumSilenceMs);
		const early = run(state, [{kind: 'ticked', now: 699}]);
		expect(early.effects).toEqual([]);
		const late = run(state, [{kind: 'ticked', now: 700}]);
		expect(listKinds(late.effects)).toEqual(['probe']);
	});

	it('resumes in place on a new connection when the attempt is held', () => {
		const {state, effects} = run(createState(), [
			placed,
			...createChunks(10),
			{kind: 'ticked', now: 5000},
			{kind: 'probe-answered', probe: 1, held: true, length: 30, now: 5001},
			createChunk(10, 5002),
			createChunk(10, 5003, {connection: 2, count: 20}),
		]);
		expect(effects.slice(-4)).toEqual([
			{kind: 'close', connection: 1},
			{kind: 'resume', backend: 'a', attempt: 1, connection: 2, offset: 10},
			{kind: 'deliver', offset: 10, count: 20},
			{kind: 'report-resume', waitMs: 4803, inPlace: true},
		]);
		expect(state.retries).toBe(0);
	});

	it('fails over with the prefix after the last failed probe', () => {
		const {effects} = run(createState(), [
			placed,
			...createChunks(10),
			{kind: 'connection-lost', connection: 1, now: 300},
			{kind: 'probe-failed', probe: 1, now: 301},
			{kind: 'ticked', now: 301 + POLICY.probeTimeoutMs},
			{kind: 'placed', backend: 'b', now: 600},
		]);
		expect(effects.slice(11)).toEqual([
			{kind: 'probe', backend: 'a', attempt: 1, probe: 1},
			{kind: 'probe', backend: 'a', attempt: 1, probe: 2},
			{kind: 'cancel', backend: 'a', attempt: 1},
			{
				kind: 'report-death',
				backend: 'a',
				attempt: 1,
				cause: 'unreachable',
				ran: true,
			},
			{kind: 'place', excluded: ['a'], resumed: true},
			{
				kind: 'start',
				backend: 'b',
				attempt: 2,
				connection: 2,
				prefixLength: 10,
			},
		]);
	});

	it('has a shorter timeout for accepting an attempt than for its first token', () => {
		const {state} = run(createState(), [placed]);
		expect(getNextDeadline(state)).toBe(POLICY.acceptMs);
		const accepted = run(state, [{kind: 'connected', connection: 1, now: 5}]);
		expect(getNextDeadline(accepted.state)).toBe(5 + POLICY.firstTokenMs);
	});

	it('reports that an attempt that was never accepted did not run', () => {
		const {effects} = run(createState(), [
			placed,
			{kind: 'connection-lost', connection: 1, now: 10},
			{kind: 'probe-failed', probe: 1, now: 11},
			{kind: 'probe-failed', probe: 2, now: 12},
		]);
		const death = effects.find((effect) => effect.kind === 'report-death');
		expect(death).toMatchObject({ran: false});
	});

	it('ends the probing when a token arrives', () => {
		const {state, effects} = run(createState(), [
			placed,
			...createChunks(10),
			{kind: 'ticked', now: 5000},
			createChunk(10, 5001),
			{kind: 'probe-failed', probe: 1, now: 5002},
		]);
		expect(state.phase.kind).toBe('streaming');
		expect(listKinds(effects.slice(11))).toEqual(['probe', 'deliver']);
	});

	it('ignores silence while the caller is blocked', () => {
		const {state} = run(createState(), [
			placed,
			...createChunks(10),
			{kind: 'caller-blocked', now: 200},
		]);
		expect(getNextDeadline(state)).toBeUndefined();
		const {effects} = run(state, [
			{kind: 'ticked', now: 60_000},
			{kind: 'caller-ready', now: 60_001},
			{kind: 'ticked', now: 60_002},
		]);
		expect(effects).toEqual([]);
	});

	it('fails over if the backend server answers probes but sends no token', () => {
		let {state} = run(createState(), [placed, ...createChunks(10)]);
		const effects: GenerationEffect[] = [];
		while (state.phase.kind !== 'placing') {
			const now = getNextDeadline(state)!;
			const probed = run(state, [{kind: 'ticked', now}]);
			const answered = run(probed.state, [
				{
					kind: 'probe-answered',
					probe: probed.state.probes,
					held: true,
					length: 10,
					now,
				},
			]);
			effects.push(...answered.effects);
			state = answered.state;
		}

		expect(listKinds(effects)).toContain('report-death');
		expect(effects.filter((effect) => effect.kind === 'resume')).toHaveLength(
			POLICY.stalledResumes,
		);
	});
});

describe('chunks', () => {
	it('drops the tokens of a chunk that were already delivered', () => {
		const {effects} = run(createState(), [
			placed,
			...createChunks(3),
			createChunk(1, 80, {count: 5}),
		]);
		expect(effects.at(-1)).toEqual({kind: 'deliver', offset: 3, count: 3});
	});

	it.each([
		['a gap', createChunk(4, 80)],
		['another generation', createChunk(3, 80, {generation: 'x'})],
		['another attempt', createChunk(3, 80, {attempt: 2})],
	])('treats %s as a connection error', (_, event) => {
		const {effects} = run(createState(), [placed, ...createChunks(3), event]);
		expect(listKinds(effects.slice(4))).toEqual(['close', 'probe']);
	});

	it('treats an end before the last token as a connection error', () => {
		const {state, effects} = run(createState(), [
			placed,
			...createChunks(3),
			{
				kind: 'end-received',
				connection: 1,
				generation: 'g',
				attempt: 1,
				total: 4,
				now: 80,
			},
		]);
		expect(state.phase.kind).toBe('probing');
		expect(listKinds(effects)).not.toContain('finish');
	});

	it('ignores chunks of a previous connection', () => {
		const {state} = run(createState(), [
			placed,
			...createChunks(3),
			{kind: 'connection-lost', connection: 1, now: 80},
			{kind: 'probe-answered', probe: 1, held: true, length: 9, now: 81},
			createChunk(3, 82),
		]);
		expect(state.offset).toBe(3);
	});
});

describe('adoption', () => {
	const start: GenerationStart = {
		kind: 'adopt',
		backend: 'a',
		attempt: 2,
		offset: 5,
		prefixAvailable: false,
	};

	it('retains the tokens that another entry delivered', () => {
		const {effects} = run(createState(start), [
			createChunk(0, 10, {attempt: 2, count: 8}),
		]);
		expect(effects.slice(0, 2)).toEqual([
			{kind: 'retain', offset: 0, count: 5},
			{kind: 'deliver', offset: 5, count: 3},
		]);
	});

	it('fails instead of restarting without the delivered prefix', () => {
		const lost: readonly GenerationEvent[] = [
			{kind: 'connection-lost', connection: 1, now: 10},
			{kind: 'probe-answered', probe: 1, held: false, length: 0, now: 11},
		];
		expect(run(createState(start), lost).effects.at(-1)).toEqual({
			kind: 'fail',
			reason: 'prefix-missing',
		});
		const held = createState({...start, prefixAvailable: true});
		expect(run(held, lost).effects.at(-1)?.kind).toBe('place');
	});

	it('cancels nothing when another entry takes over', () => {
		const {effects} = run(createState(), [
			placed,
			...createChunks(2),
			{kind: 'taken-over', now: 60},
		]);
		expect(listKinds(effects.slice(3))).toEqual(['close']);
	});
});
