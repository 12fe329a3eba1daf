/** Parses `host:port`. */
export function parseAddress(address: string): {host: string; port: number} {
	const colon = address.lastIndexOf(':');
	return {
		host: address.slice(0, colon),
		port: Number(address.slice(colon + 1)),
	};
}

/** Creates the lookup of the address at which backend servers are connected to. */
export function createAddressResolver(
	backendHost: string | undefined,
): (backend: Readonly<{address: string}>) => string {
	return ({address}) =>
		backendHost === undefined
			? address
			: `${backendHost}:${parseAddress(address).port}`;
}
