import {err, ok, type Result} from 'neverthrow';
import type {Configuration, Route} from './types.js';

function findDuplicates(values: readonly string[]): readonly string[] {
	const seen = new Set<string>();
	return values.filter((value) => {
		const isDuplicate = seen.has(value);
		seen.add(value);
		return isDuplicate;
	});
}

function checkRoute(route: Route, serviceNames: ReadonlySet<string>): string[] {
	const {name, targets, timeoutMs} = route;
	const unknownServiceProblems = targets
		.filter(({service}) => !serviceNames.has(service))
		.map(({service}) => `route ${name}: service ${service} is unknown`);
	const totalWeight = targets.reduce((sum, target) => sum + target.weight, 0);
	const hasNegativeWeight = targets.some((target) => target.weight < 0);
	return [
		...unknownServiceProblems,
		...(totalWeight > 0 && !hasNegativeWeight
			? []
			: [
					`route ${name}: weights must not be negative and must add up to more than 0`,
				]),
		...(timeoutMs > 0
			? []
			: [`route ${name}: the timeout must be greater than 0`]),
	];
}

/** Validates a configuration; an error lists every problem. */
export function checkConfiguration(
	configuration: Configuration,
): Result<Configuration, readonly string[]> {
	const {routes, services, customers = []} = configuration;
	const serviceNames = new Set(services.map(({name}) => name));
	const locations = routes.map(({host, pathPrefix}) => `${host}${pathPrefix}`);
	const keys = customers.flatMap((customer) => [...new Set(customer.keys)]);
	const problems = [
		...routes.flatMap((route) => checkRoute(route, serviceNames)),
		...findDuplicates(locations).map(
			(location) => `two routes serve ${location}`,
		),
		// Keys are secrets, so the message must not contain them.
		...findDuplicates(keys).map(() => 'two customers share a key'),
	];
	return problems.length === 0 ? ok(configuration) : err(problems);
}
