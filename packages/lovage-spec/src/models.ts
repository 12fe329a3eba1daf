import {claimsModel} from './claims-model.js';
import {configurationModel} from './configuration-model.js';
import {generationModel} from './generation-model.js';
import {logModels} from './log-models.js';
import {ordersModel} from './orders-model.js';
import {rolloutModel} from './rollout-model.js';
import type {Model} from './model.js';

/**
 * All models of the specification, in the order in which `prove` checks them.
 */
export const models: readonly Model[] = [
	...logModels,
	claimsModel,
	configurationModel,
	generationModel,
	ordersModel,
	rolloutModel,
];
