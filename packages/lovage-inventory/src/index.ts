export type {
	Configuration,
	Customer,
	Inventory,
	Objective,
	Rules,
	Service,
	Worker,
} from './configuration.js';
export {
	configurationSchema,
	inventorySchema,
	rulesSchema,
} from './configuration.js';
