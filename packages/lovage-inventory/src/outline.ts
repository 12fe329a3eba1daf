import {z} from 'zod';

const optionalText = z.string().optional().catch(undefined);

const identifiedItem = z.object({id: optionalText}).catch({});

const keyHolder = z.object({id: optionalText, keyHash: optionalText}).catch({});

const service = z
	.object({
		id: optionalText,
		kind: optionalText,
		models: z.array(identifiedItem).catch([]),
		workers: z
			.array(z.object({id: optionalText, dataCentre: optionalText}).catch({}))
			.catch([]),
	})
	.catch({models: [], workers: []});

/**
 * Lenient schema of the inventory parts that cross-reference checks need.
 * Invalid parts are left out, so that one error does not hide others.
 */
export const inventoryOutlineSchema = z
	.object({
		dataCentres: z.array(identifiedItem).catch([]),
		services: z.array(service).catch([]),
		customers: z.array(keyHolder).catch([]),
		operators: z.array(keyHolder).catch([]),
	})
	.catch({dataCentres: [], services: [], customers: [], operators: []});

/** Lenient schema of the rules for cross-reference checks; invalid parts are left out. */
export const rulesOutlineSchema = z
	.object({
		nonIdempotent: z
			.array(
				z.object({service: optionalText, operation: optionalText}).catch({}),
			)
			.catch([]),
		priorities: z
			.array(
				z.object({customer: optionalText, service: optionalText}).catch({}),
			)
			.catch([]),
		objectives: z.array(z.object({service: optionalText}).catch({})).catch([]),
	})
	.catch({nonIdempotent: [], priorities: [], objectives: []});

/** Parts of an inventory that cross-reference checks need. */
export type InventoryOutline = z.output<typeof inventoryOutlineSchema>;
/** Parts of the rules that cross-reference checks need. */
export type RulesOutline = z.output<typeof rulesOutlineSchema>;
