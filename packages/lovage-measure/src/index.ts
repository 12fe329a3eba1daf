export type {RunResult} from './account.js';
export {listRows, type Row} from './plan.js';
export {runScenario, type RunOptions} from './run.js';
export {
	DEPLOYMENTS,
	FAULT_KINDS,
	type Deployment,
	type Fault,
} from './scenario.js';
export {summarise, type Percentiles, type Summary} from './summary.js';
export {formatDetails, formatTable} from './table.js';
export {BASELINES, OBJECTIVES, type Variant} from './variants.js';
