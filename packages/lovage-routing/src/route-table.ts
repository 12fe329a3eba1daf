import type {
	Configuration,
	Customer,
	Route,
	RouteTarget,
	Service,
} from './types.js';

/** Lookups for one version of the configuration. */
export type RouteTable = Readonly<{
	configuration: Configuration;
	/** Finds the route of the host with the longest prefix of the path. */
	findRoute: (host: string, path: string) => Route | undefined;
	findCustomer: (key: string) => Customer | undefined;
	findService: (name: string) => Service | undefined;
	/** Whether requests need a customer's key. */
	requiresKey: boolean;
}>;

/** Normalizes the value of a Host header for comparison with a route's host. */
export function normalizeHost(host: string): string {
	return host.replace(/:\d+$/, '').toLowerCase();
}

function groupByHost(
	routes: readonly Route[],
): ReadonlyMap<string, readonly Route[]> {
	const groups = new Map<string, Route[]>();
	routes.forEach((route) => {
		const group = groups.get(route.host) ?? [];
		group.push(route);
		groups.set(route.host, group);
	});
	groups.forEach((group) => {
		group.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
	});
	return groups;
}

/** Creates the lookups for a configuration. */
export function createRouteTable(configuration: Configuration): RouteTable {
	const {routes, services, customers} = configuration;
	const routesByHost = groupByHost(routes);
	const servicesByName = new Map(
		services.map((service) => [service.name, service]),
	);
	const customersByKey = new Map(
		(customers ?? []).flatMap((customer) =>
			customer.keys.map((key) => [key, customer] as const),
		),
	);
	return {
		configuration,
		requiresKey: customers !== undefined,
		findRoute: (host, path) =>
			routesByHost
				.get(normalizeHost(host))
				?.find(({pathPrefix}) => path.startsWith(pathPrefix)),
		findCustomer: (key) => customersByKey.get(key),
		findService: (name) => servicesByName.get(name),
	};
}

/** Chooses a service at random by weight; `random` is in [0, 1). */
export function chooseTarget(
	targets: readonly RouteTarget[],
	random: number,
): string | undefined {
	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = random * total;
	const chosen = targets.find(({weight}) => {
		remaining -= weight;
		return remaining < 0;
	});
	// What is left after large weights may be rounded to 0.
	return (chosen ?? targets.findLast(({weight}) => weight > 0))?.service;
}
