import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	ALL_GUARDS,
	createGeneration,
	getDetectionPolicy,
	stepGeneration,
	type GenerationEvent,
	type GenerationGuards,
	type GenerationState,
} from '../../index.js';

const SEED = 5504;
const TOTAL = 6;

/** A chunk whose connection, generation, attempt or offset may not match. */
const anyChunk = fc.record({
	kind: fc.constant('chunk' as const),
	connection: fc.integer({min: 1, max: 4}),
	generation: fc.constantFrom('g', 'g', 'g', 'x'),
	attempt: fc.integer({min: 1, max: 3}),
	offset: fc.nat(TOTAL),
	count: fc.integer({min: 1, max: 3}),
});
const anyAction = fc.oneof(
	{weight: 6, arbitrary: anyChunk},
	fc.record({kind: fc.constant('next' as const), count: fc.nat(3)}),
	fc.record({kind: fc.constant('end' as const), total: fc.nat(TOTAL)}),
	fc.constant({kind: 'lost' as const}),
	fc.record({kind: fc.constant('probe' as const), held: fc.boolean()}),
	fc.constant({kind: 'placed' as const}),
);
type Action =
	typeof anyAction extends fc.Arbitrary<infer Value> ? Value : never;

function createEvent(state: GenerationState, action: Action): GenerationEvent {
	const {phase, attempt, offset} = state;
	const connection = 'connection' in phase ? (phase.connection ?? 0) : 0;
	const own = {connection, generation: 'g', attempt, now: 0};
	switch (action.kind) {
		case 'chunk': {
			return {...action, kind: 'chunk-received', now: 0};
		}

		case 'next': {
			return {...own, kind: 'chunk-received', offset, count: action.count};
		}

		case 'end': {
			return {...own, kind: 'end-received', total: action.total};
		}

		case 'lost': {
			return {kind: 'connection-lost', connection, now: 0};
		}

		case 'probe': {
			const probe = phase.kind === 'probing' ? phase.probe : 0;
			const {held} = action;
			return {kind: 'probe-answered', probe, held, length: 0, now: 0};
		}

		case 'placed': {
			return {kind: 'placed', backend: 'a', now: 0};
		}
	}
}

/**
 * Runs the actions and tells whether the caller gets every token once and in
 * order, each from the attempt that was current at the time.
 */
function isDeliveredCorrectly(
	actions: readonly Action[],
	guards: GenerationGuards,
): boolean {
	const policy = getDetectionPolicy('resume-latency');
	const options = {id: 'g', policy, retryLimit: 9, guards};
	let {state} = createGeneration({...options, start: {kind: 'new'}}, 0);
	const positions: number[] = [];
	const areEffectsValid = actions.every((action) => {
		const event = createEvent(state, action);
		const {attempt} = state;
		const transition = stepGeneration(state, event);
		state = transition.state;
		return transition.effects.every((effect) => {
			if (effect.kind === 'finish') {
				return (
					event.kind === 'end-received' && event.total === positions.length
				);
			}

			if (effect.kind !== 'deliver' || event.kind !== 'chunk-received') {
				return effect.kind !== 'start' || effect.prefixLength === state.offset;
			}

			const end = event.offset + event.count;
			const first = end - effect.count;
			positions.push(
				...Array.from({length: effect.count}, (_, i) => first + i),
			);
			return (
				effect.count <= event.count &&
				event.generation === 'g' &&
				event.attempt === attempt
			);
		});
	});
	return areEffectsValid && positions.every((position, i) => position === i);
}

describe('any interleaving of chunks, losses and resumes', () => {
	const actions = fc.array(anyAction, {maxLength: 40});

	it('delivers every token of the current attempt once and in order', () => {
		fc.assert(
			fc.property(actions, (drawn) => isDeliveredCorrectly(drawn, ALL_GUARDS)),
			{seed: SEED, numRuns: 3000},
		);
	});

	it.each([
		'attemptCheck',
		'generationCheck',
		'gapCheck',
		'overlapCheck',
		'endTotalCheck',
		'prefixOnResume',
	] as const)('needs %s', (guard) => {
		const guards = {...ALL_GUARDS, [guard]: false};
		const result = fc.check(
			fc.property(actions, (drawn) => isDeliveredCorrectly(drawn, guards)),
			{seed: SEED, numRuns: 3000},
		);
		expect(result.failed).toBe(true);
	});
});
