const ADDRESS_PATTERN =
	/^((?:0|[1-9]\d{0,2})(?:\.(?:0|[1-9]\d{0,2})){3}):([1-9]\d{0,4})$/;
const MAX_IP_PART = 255;
const MAX_PORT = 65_535;

/** IPv4 address and port, both of which can be connected to. */
export type SocketAddress = Readonly<{host: string; port: number}>;

/** Parses `host:port`; undefined if it names nothing that can be connected to. */
export function parseSocketAddress(value: unknown): SocketAddress | undefined {
	const match =
		typeof value === 'string' ? ADDRESS_PATTERN.exec(value) : undefined;
	if (!match) {
		return undefined;
	}

	const [, host = '', portText] = match;
	const port = Number(portText);
	const isHost = host.split('.').every((part) => Number(part) <= MAX_IP_PART);
	return isHost && port <= MAX_PORT ? {host, port} : undefined;
}

/** Whether a value names an IPv4 address and a port that can be connected to. */
export function isSocketAddress(value: unknown): value is string {
	return parseSocketAddress(value) !== undefined;
}
