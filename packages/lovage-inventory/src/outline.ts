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

/** What the cross checks need of an inventory; wrong parts are left out. */
export const inventoryOutlineSchema = z
	.object({
		dataCentres: z.array(identifiedItem).catch([]),
		services: z.array(service).catch([]),
		customers: z.array(keyHolder).catch([]),
		operators: z.array(keyHolder).catch([]),
	})
	.catch({dataCentres: [], services: [], customers: [], operators: []});

/** What the cross checks need of the rules; wrong parts are left out. */
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

/** Parts of an inventory that the cross checks look at. */
export type InventoryOutline = z.output<typeof inventoryOutlineSchema>;
/** Parts of the rules that the cross checks look at. */
export type RulesOutline = z.output<typeof rulesOutlineSchema>;
