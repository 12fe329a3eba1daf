import {z} from 'zod';

const text = z.string().optional().catch(undefined);

const named = z.object({id: text}).catch({});

const holder = z.object({id: text, keyHash: text}).catch({});

const service = z
	.object({
		id: text,
		kind: text,
		models: z.array(named).catch([]),
		workers: z
			.array(z.object({id: text, dataCentre: text}).catch({}))
			.catch([]),
	})
	.catch({models: [], workers: []});

/** What the cross checks need of an inventory; wrong parts are left out. */
export const inventoryOutlineSchema = z
	.object({
		dataCentres: z.array(named).catch([]),
		services: z.array(service).catch([]),
		customers: z.array(holder).catch([]),
		operators: z.array(holder).catch([]),
	})
	.catch({dataCentres: [], services: [], customers: [], operators: []});

/** What the cross checks need of the rules; wrong parts are left out. */
export const rulesOutlineSchema = z
	.object({
		nonIdempotent: z
			.array(z.object({service: text, operation: text}).catch({}))
			.catch([]),
		priorities: z
			.array(z.object({customer: text, service: text}).catch({}))
			.catch([]),
		objectives: z.array(z.object({service: text}).catch({})).catch([]),
	})
	.catch({nonIdempotent: [], priorities: [], objectives: []});

/** Parts of an inventory that the cross checks look at. */
export type InventoryOutline = z.output<typeof inventoryOutlineSchema>;
/** Parts of the rules that the cross checks look at. */
export type RulesOutline = z.output<typeof rulesOutlineSchema>;
