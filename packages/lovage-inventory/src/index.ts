export type {ConfigurationError} from './configuration-error.js';
export {formatConfigurationError} from './configuration-error.js';
export type {
	Configuration,
	Customer,
	Inventory,
	Objective,
	Operator,
	Rules,
	Service,
	Worker,
} from './configuration.js';
export {
	configurationSchema,
	inventorySchema,
	rulesSchema,
} from './configuration.js';
export type {Change} from './diff-configurations.js';
export {diffConfigurations, formatChange} from './diff-configurations.js';
export {hashKey} from './hash-key.js';
export type {Fields, Subject} from './list-items.js';
export {loadConfiguration} from './load-configuration.js';
export {
	DEFAULT_PRIORITY,
	findCustomerByKey,
	findOperatorByKey,
	findService,
	findWorker,
	indexCustomersByKey,
	isNonIdempotent,
	objectiveOf,
	priorityOf,
} from './look-up.js';
export type {ConfigurationTexts} from './parse-configuration.js';
export {parseConfiguration} from './parse-configuration.js';
