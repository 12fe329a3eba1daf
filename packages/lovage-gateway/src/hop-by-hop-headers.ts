/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
]);

/** Groups a flat list of alternating names and values into pairs. */
export function pairHeaders(
	rawHeaders: readonly string[],
): ReadonlyArray<readonly [name: string, value: string]> {
	return rawHeaders.flatMap((name, i) =>
		i % 2 === 0 ? [[name, rawHeaders[i + 1] ?? ''] as const] : [],
	);
}

/**
 * Removes hop-by-hop headers, those listed in `Connection`, and those in
 * `removed`, which holds lower-case names.
 */
export function removeHeaders(
	rawHeaders: readonly string[],
	removed: ReadonlySet<string>,
): string[] {
	const pairs = pairHeaders(rawHeaders);
	const connectionOptions = new Set(
		pairs
			.filter(([name]) => name.toLowerCase() === 'connection')
			.flatMap(([, value]) => value.toLowerCase().split(','))
			.map((token) => token.trim()),
	);
	return pairs
		.filter(([name]) => {
			const lowerCaseName = name.toLowerCase();
			return (
				!HOP_BY_HOP_HEADERS.has(lowerCaseName) &&
				!connectionOptions.has(lowerCaseName) &&
				!removed.has(lowerCaseName)
			);
		})
		.flat();
}
