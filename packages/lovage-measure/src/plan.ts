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
	restart: ['engine-death', 'data-centre'],
	'fixed time-out': ['engine-death', 'dead-connection'],
	'random place': ['engine-death', 'batch'],
	'least reported': ['engine-death', 'batch'],
	'no retry budget': ['data-centre', 'killer'],
	'no shares': ['batch'],
};
const ENDS = new Set(['resume-latency', 'resource-use']);

function isMeasured(fault: Fault, variant: Variant): boolean {
	return (
		ENDS.has(variant.name) ||
		(OBJECTIVES.includes(variant)
			? fault === 'engine-death'
			: (BASELINE_FAULTS[variant.name] ?? []).includes(fault))
	);
}

/** Lists the rows of the table: each fault with its variants. */
export function listRows(): readonly Row[] {
	return DEPLOYMENTS.flatMap((deployment) =>
		FAULT_KINDS.flatMap((fault) =>
			[...OBJECTIVES, ...BASELINES]
				.filter((variant) => isMeasured(fault, variant))
				.map((variant) => ({deployment, fault, variant})),
		),
	);
}
