import {err, ok, type Result} from 'neverthrow';

/** Host and port that a connection can be opened to. */
export type HostPort = Readonly<{host: string; port: number}>;

const HOST_PORT = /^([\w.-]{1,253}|\[[\da-f:.]{2,45}]):(\d{1,5})$/i;
const MAX_PORT = 65_535;

/** Whether a value is a port that can be connected to, which excludes 0. */
export function isPort(value: unknown): value is number {
	return (
		Number.isInteger(value) && Number(value) > 0 && Number(value) <= MAX_PORT
	);
}

/** Parses an address of the form `host:port`; an IPv6 address stands in brackets. */
export function parseHostPort(address: unknown): Result<HostPort, string> {
	const [, host, digits] =
		typeof address === 'string' ? (HOST_PORT.exec(address) ?? []) : [];
	const port = Number(digits);
	return host !== undefined && isPort(port)
		? ok({host: host.replaceAll(/[[\]]/g, ''), port})
		: err('the address is not of the form host:port');
}

/** Whether a value is an address that a connection can be opened to. */
export function isAddress(value: unknown): value is string {
	return parseHostPort(value).isOk();
}
