import {describe, expect, it} from 'vitest';
import {
	BASELINES,
	DEPLOYMENTS,
	FAULT_KINDS,
	OBJECTIVES,
	runScenario,
} from '../../index.js';

const SEED = 77;
const [variant] = OBJECTIVES;
const [deployment] = DEPLOYMENTS;

describe('runScenario', () => {
	it.each(FAULT_KINDS)('delivers complete answers under %s', (fault) => {
		const result = runScenario({
			deployment: deployment!,
			fault,
			variant: variant!,
			seed: SEED,
		});
		expect(result.notWhole).toBe(0);
		expect(result.finished).toBeGreaterThan(0);
		expect(result.innocentsConvicted).toBe(0);
	});

	it('detects incomplete answers when they restart without a prefix', () => {
		const restart = BASELINES.find(({name}) => name === 'restart')!;
		const result = runScenario({
			deployment: deployment!,
			fault: 'data-centre',
			variant: restart,
			seed: SEED,
		});
		expect(result.notWhole).toBeGreaterThan(0);
	});

	it('returns the same result for the same seed', () => {
		const options = {
			deployment: deployment!,
			fault: 'twice' as const,
			variant: variant!,
			seed: SEED,
		};
		expect(runScenario(options)).toEqual(runScenario(options));
	});
});
