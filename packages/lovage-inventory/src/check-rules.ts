import type {ValuePath} from './configuration-error.js';
import type {Finding} from './explain-issue.js';
import {findDuplicates} from './find-duplicates.js';
import type {InventoryOutline, RulesOutline} from './outline.js';

type KnownIds = Readonly<{
	services: ReadonlyMap<string | undefined, string | undefined>;
	customers: ReadonlySet<string | undefined>;
}>;

function checkService(
	service: string | undefined,
	path: ValuePath,
	known: KnownIds,
): Finding[] {
	return service === undefined || known.services.has(service)
		? []
		: [{path, message: `service "${service}" is not in the inventory`}];
}

function checkCustomer(
	customer: string | undefined,
	path: ValuePath,
	known: KnownIds,
): Finding[] {
	return customer === undefined || known.customers.has(customer)
		? []
		: [{path, message: `customer "${customer}" is not in the inventory`}];
}

function checkNonIdempotent(rules: RulesOutline, known: KnownIds): Finding[] {
	return rules.nonIdempotent.flatMap(({service}, i) => {
		const path = ['nonIdempotent', i, 'service'];
		return known.services.get(service) === 'engine'
			? [
					{
						path,
						message: `"${service}" is an engine service; only operations of plain services can be non-idempotent`,
					},
				]
			: checkService(service, path, known);
	});
}

function checkReferences(rules: RulesOutline, known: KnownIds): Finding[] {
	return [
		...checkNonIdempotent(rules, known),
		...rules.priorities.flatMap(({customer, service}, i) => [
			...checkCustomer(customer, ['priorities', i, 'customer'], known),
			...checkService(service, ['priorities', i, 'service'], known),
		]),
		...rules.objectives.flatMap(({service}, i) =>
			checkService(service, ['objectives', i, 'service'], known),
		),
	];
}

function checkDuplicates(rules: RulesOutline): Finding[] {
	return [
		...findDuplicates(
			rules.nonIdempotent.map(({service, operation}, i) => ({
				value: service && operation && `${service}/${operation}`,
				path: ['nonIdempotent', i],
			})),
			(name) => `duplicate operation "${name}"`,
		),
		...findDuplicates(
			rules.priorities.map(({customer, service}, i) => ({
				value: `${customer ?? '*'}/${service ?? '*'}`,
				path: ['priorities', i],
			})),
			(name) => `duplicate priority for "${name}" (customer/service)`,
		),
		...findDuplicates(
			rules.objectives.map(({service}, i) => ({
				value: service,
				path: ['objectives', i, 'service'],
			})),
			(service) => `duplicate objective for "${service}"`,
		),
	];
}

/**
 * Checks the rules for duplicates and, if the inventory could be read, for
 * references to services and customers that do not exist.
 */
export function checkRules(
	rules: RulesOutline,
	inventory: InventoryOutline | undefined,
): Finding[] {
	if (inventory === undefined) {
		return checkDuplicates(rules);
	}

	const known: KnownIds = {
		services: new Map(inventory.services.map(({id, kind}) => [id, kind])),
		customers: new Set(inventory.customers.map(({id}) => id)),
	};
	return [...checkReferences(rules, known), ...checkDuplicates(rules)];
}
