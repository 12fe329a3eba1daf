/** Headers that concern one connection only. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
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

/** Pairs of a flat list of names and values. */
export function pairHeaders(
	rawHeaders: readonly string[],
): ReadonlyArray<readonly [name: string, value: string]> {
	return rawHeaders.flatMap((name, i) =>
		i % 2 === 0 ? [[name, rawHeaders[i + 1] ?? ''] as const] : [],
	);
}

/** Removes the headers of one connection, those that `Connection` names, and those in `dropped`, which are in lower case. */
export function dropHeaders(
	rawHeaders: readonly string[],
	dropped: ReadonlySet<string>,
): string[] {
	const pairs = pairHeaders(rawHeaders);
	const named = new Set(
		pairs
			.filter(([name]) => name.toLowerCase() === 'connection')
			.flatMap(([, value]) => value.toLowerCase().split(','))
			.map((token) => token.trim()),
	);
	return pairs
		.filter(([name]) => {
			const lower = name.toLowerCase();
			return (
				!HOP_HEADERS.has(lower) && !named.has(lower) && !dropped.has(lower)
			);
		})
		.flat();
}
