import {
	objectiveSchema,
	type Customer,
	type Inventory,
	type Objective,
	type Operator,
	type Rules,
	type Service,
	type Worker,
} from './configuration.js';

/** Priority of requests that no rule names. */
export const DEFAULT_PRIORITY = 5;

const ANY_OPERATION = '*';

/** Tells whether the rules mark an operation of a service as non-idempotent. */
export function isNonIdempotent(
	rules: Rules,
	service: string,
	operation: string,
): boolean {
	return rules.nonIdempotent.some(
		(rule) =>
			rule.service === service &&
			(rule.operation === operation || rule.operation === ANY_OPERATION),
	);
}

function getSpecificity(rule: Rules['priorities'][number]): number {
	return (
		(rule.customer === undefined ? 0 : 2) + (rule.service === undefined ? 0 : 1)
	);
}

/**
 * Returns the priority of a customer's requests to a service. A rule that
 * names both goes before one with the customer only, that before one with the
 * service only, and that before one with neither.
 */
export function priorityOf(
	rules: Rules,
	customer: string,
	service: string,
): number {
	const matching = rules.priorities.filter(
		(rule) =>
			(rule.customer ?? customer) === customer &&
			(rule.service ?? service) === service,
	);
	const [first] = matching.toSorted(
		(a, b) => getSpecificity(b) - getSpecificity(a),
	);
	return first?.priority ?? DEFAULT_PRIORITY;
}

/** Returns the objective of a service, or the default one. */
export function objectiveOf(rules: Rules, service: string): Objective {
	return (
		rules.objectives.find((objective) => objective.service === service) ??
		objectiveSchema.parse({service, weighs: 'resume-latency'})
	);
}

/** Finds a service of the inventory. */
export function findService(
	inventory: Inventory,
	id: string,
): Service | undefined {
	return inventory.services.find((service) => service.id === id);
}

/** Finds a worker that the inventory expects for a service. */
export function findWorker(
	inventory: Inventory,
	service: string,
	id: string,
): Worker | undefined {
	return findService(inventory, service)?.workers.find(
		(worker) => worker.id === id,
	);
}

/** Finds the customer that holds a key, by the key's hash. */
export function findCustomerByKey(
	inventory: Inventory,
	keyHash: string,
): Customer | undefined {
	return inventory.customers.find((customer) => customer.keyHash === keyHash);
}

/** Finds the operator that holds a key, by the key's hash. */
export function findOperatorByKey(
	inventory: Inventory,
	keyHash: string,
): Operator | undefined {
	return inventory.operators.find((operator) => operator.keyHash === keyHash);
}

/** Maps key hashes to customers, for one lookup a request. */
export function indexCustomersByKey(
	inventory: Inventory,
): ReadonlyMap<string, Customer> {
	return new Map(
		inventory.customers.map((customer) => [customer.keyHash, customer]),
	);
}
