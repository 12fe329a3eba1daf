import {getDetectionPolicy} from '@lovagevalve/generation';
import {
	DEPLOYMENTS,
	FAULT_KINDS,
	type Deployment,
	type Fault,
} from './scenario.js';
import {BASELINES, OBJECTIVES, type Variant} from './variants.js';

/** One row of the table. */
export type Row = Readonly<{
	deployment: Deployment;
	fault: Fault;
	variant: Variant;
}>;

const BASELINE_FAULTS: Readonly<Record<string, readonly Fault[]>> = {
	restart: ['engine-death'],
	'fixed time-out': ['engine-death'],
	'random place': ['engine-death'],
	'least reported': ['engine-death'],
	'no retry budget': ['data-centre'],
	'no shares': ['batch'],
};
const OBJECTIVE_CURVE_FAULTS: ReadonlySet<Fault> = new Set([
	'engine-death',
	'pause',
]);

function isRowMeasured({deployment, fault, variant}: Row): boolean {
	return OBJECTIVES.includes(variant)
		? OBJECTIVE_CURVE_FAULTS.has(fault) || variant.name === deployment.objective
		: (BASELINE_FAULTS[variant.name] ?? []).includes(fault);
}

/** Baselines differ from the deployment's own objective in one matter only. */
function listBaselines({objective}: Deployment): readonly Variant[] {
	const detection = getDetectionPolicy(objective);
	return BASELINES.map((variant) =>
		variant.hasOwnDetection ? variant : {...variant, detection},
	);
}

/** Lists the rows of the table: each fault with its variants. */
export function listRows(): readonly Row[] {
	return DEPLOYMENTS.flatMap((deployment) =>
		FAULT_KINDS.flatMap((fault) =>
			[...OBJECTIVES, ...listBaselines(deployment)]
				.map((variant) => ({deployment, fault, variant}))
				.filter(isRowMeasured),
		),
	);
}
