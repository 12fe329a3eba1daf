import {err, ok, type Result} from 'neverthrow';
import type {Configuration, Route} from './types.js';

function findDuplicates(values: readonly string[]): readonly string[] {
	const seen = new Set<string>();
	return values.filter((value) => {
		const isKnown = seen.has(value);
		seen.add(value);
		return isKnown;
	});
}

function checkRoute(route: Route, services: ReadonlySet<string>): string[] {
	const {name, targets, timeoutMs} = route;
	const unknown = targets
		.filter(({service}) => !services.has(service))
		.map(({service}) => `route ${name}: service ${service} is unknown`);
	const weight = targets.reduce((sum, target) => sum + target.weight, 0);
	const isNegative = targets.some((target) => target.weight < 0);
	return [
		...unknown,
		...(weight > 0 && !isNegative
			? []
			: [`route ${name}: the weights must add up to more than 0`]),
		...(timeoutMs > 0 ? [] : [`route ${name}: the timeout must be above 0`]),
	];
}

/** Checks what one configuration must fulfil; an error lists every problem. */
export function checkConfiguration(
	configuration: Configuration,
): Result<Configuration, readonly string[]> {
	const {routes, services, customers = []} = configuration;
	const names = new Set(services.map(({name}) => name));
	const places = routes.map(({host, pathPrefix}) => `${host}${pathPrefix}`);
	const keys = customers.flatMap((customer) => [...new Set(customer.keys)]);
	const problems = [
		...routes.flatMap((route) => checkRoute(route, names)),
		...findDuplicates(places).map((place) => `two routes serve ${place}`),
		// A key is a secret: the message doesn't repeat it.
		...findDuplicates(keys).map(() => 'two customers share a key'),
	];
	return problems.length === 0 ? ok(configuration) : err(problems);
}
