import type {Configuration, Service} from './configuration.js';

/** Kinds of items in a configuration. */
export type Subject =
	| 'name'
	| 'data centre'
	| 'service'
	| 'model'
	| 'worker'
	| 'customer'
	| 'operator'
	| 'weight store'
	| 'non-idempotent'
	| 'priority'
	| 'objective'
	| 'limits'
	| 'claim retention';

/** Field values formatted as text, by field name. */
export type Fields = Readonly<Record<string, string>>;

/** An item of a configuration in flattened form, identified by kind and id. */
export type Item = Readonly<{subject: Subject; id: string; fields: Fields}>;

function formatFields(value: Record<string, unknown>): Fields {
	return Object.fromEntries(
		Object.entries(value)
			.filter(([, field]) => field !== undefined)
			.map(([name, field]) => [
				name,
				typeof field === 'string' ? field : JSON.stringify(field),
			]),
	);
}

function createItem(
	subject: Subject,
	id: string,
	value: Record<string, unknown>,
): Item {
	return {subject, id, fields: formatFields(value)};
}

function listServiceItems(service: Service): readonly Item[] {
	return [
		createItem('service', service.id, {kind: service.kind}),
		...service.models.map(({id, ...fields}) =>
			createItem('model', `${service.id}/${id}`, fields),
		),
		...service.workers.map(({id, ...fields}) =>
			createItem('worker', `${service.id}/${id}`, fields),
		),
	];
}

function listInventoryItems({inventory}: Configuration): readonly Item[] {
	return [
		createItem('name', 'deployment', {name: inventory.name}),
		...inventory.dataCentres.map(({id, ...fields}) =>
			createItem('data centre', id, fields),
		),
		...inventory.services.flatMap(listServiceItems),
		...inventory.customers.map(({id, ...fields}) =>
			createItem('customer', id, fields),
		),
		...inventory.operators.map(({id, ...fields}) =>
			createItem('operator', id, fields),
		),
		...(inventory.weightStore
			? [createItem('weight store', 'deployment', inventory.weightStore)]
			: []),
	];
}

function listRuleItems({rules}: Configuration): readonly Item[] {
	return [
		...rules.nonIdempotent.map(({service, operation}) =>
			createItem('non-idempotent', `${service}/${operation}`, {}),
		),
		...rules.priorities.map(({customer = '*', service = '*', priority}) =>
			createItem('priority', `${customer}/${service}`, {priority}),
		),
		...rules.objectives.map(({service, ...fields}) =>
			createItem('objective', service, fields),
		),
		createItem('limits', 'all', rules.limits),
		createItem('claim retention', 'all', {ms: rules.claimRetentionMs}),
	];
}

/** Lists all items of a configuration. */
export function listItems(cfg: Configuration): readonly Item[] {
	return [...listInventoryItems(cfg), ...listRuleItems(cfg)];
}
