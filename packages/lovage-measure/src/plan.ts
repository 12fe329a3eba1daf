import {getDetectionPolicy} from '@lovagevalve/generation';
import {
	DEPLOYMENTS,
	FAULT_KINDS,
	type Deployment,
	type Fault,
} from './scenario.js';
import {BASELINES, OBJECTIVES, type Variant} from './variants.js';

/** One row of the result table. */
export type Row = Readonly<{
	deployment: Deployment;
	fault: Fault;
	variant: Variant;
}>;

/** Faults under which each baseline is measured. */
const BASELINE_FAULTS: Readonly<Record<string, readonly Fault[]>> = {
	restart: ['engine-death'],
	'fixed time-out': ['engine-death'],
	'random place': ['engine-death'],
	'least reported': ['engine-death'],
	'no retry budget': ['data-centre'],
	'no shares': ['batch'],
};
/**
 * Faults under which every objective is measured, not only that of the
 * deployment.
 */
const OBJECTIVE_CURVE_FAULTS: ReadonlySet<Fault> = new Set([
	'engine-death',
	'pause',
]);

function isRowMeasured({deployment, fault, variant}: Row): boolean {
	return OBJECTIVES.includes(variant)
		? OBJECTIVE_CURVE_FAULTS.has(fault) || variant.name === deployment.objective
		: (BASELINE_FAULTS[variant.name] ?? []).includes(fault);
}

/**
 * Lists the baselines, each of which differs from the deployment's objective in
 * one respect.
 */
function listBaselines({objective}: Deployment): readonly Variant[] {
	const detection = getDetectionPolicy(objective);
	return BASELINES.map((variant) =>
		variant.hasOwnDetection ? variant : {...variant, detection},
	);
}

/** Lists the rows of the table: each deployment and fault with its variants. */
export function listRows(): readonly Row[] {
	return DEPLOYMENTS.flatMap((deployment) =>
		FAULT_KINDS.flatMap((fault) =>
			[...OBJECTIVES, ...listBaselines(deployment)]
				.map((variant) => ({deployment, fault, variant}))
				.filter(isRowMeasured),
		),
	);
}
