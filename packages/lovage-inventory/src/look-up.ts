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

/** Priority of requests that match no rule. */
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
 * Returns the priority of a customer's requests to a service. The most specific
 * rule wins: customer and service, then customer only, then service only, then
 * neither.
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

/** Returns the objective of a service, or the default objective. */
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

/** Finds a worker of a service in the inventory. */
export function findWorker(
	inventory: Inventory,
	service: string,
	id: string,
): Worker | undefined {
	return findService(inventory, service)?.workers.find(
		(worker) => worker.id === id,
	);
}

/** Finds a customer by the hash of its key. */
export function findCustomerByKey(
	inventory: Inventory,
	keyHash: string,
): Customer | undefined {
	return inventory.customers.find((customer) => customer.keyHash === keyHash);
}

/** Finds an operator by the hash of its key. */
export function findOperatorByKey(
	inventory: Inventory,
	keyHash: string,
): Operator | undefined {
	return inventory.operators.find((operator) => operator.keyHash === keyHash);
}

/** Maps key hashes to customers for constant-time lookup per request. */
export function indexCustomersByKey(
	inventory: Inventory,
): ReadonlyMap<string, Customer> {
	return new Map(
		inventory.customers.map((customer) => [customer.keyHash, customer]),
	);
}
