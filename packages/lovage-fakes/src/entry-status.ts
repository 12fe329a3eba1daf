import {fetch} from 'undici';

const REQUEST_TIMEOUT_MS = 1000;

/** Public health of an entry. */
export type EntryHealth = Readonly<{phase: string; version: number}>;

/** Backend server in the operator status of an entry. */
export type BackendStatus = Readonly<{id: string; incarnation: number}>;

async function readJson<T>(url: string, key?: string): Promise<T | undefined> {
	try {
		const res = await fetch(url, {
			headers: key === undefined ? {} : {authorization: `Bearer ${key}`},
			signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
		});
		const body = await res.json();
		return res.ok ? (body as T) : undefined;
	} catch {
		return undefined;
	}
}

/** Returns whether a control instance responds to a health check. */
export async function isResponding(address: string): Promise<boolean> {
	return (await readJson(`${address}/health`)) !== undefined;
}

/** Returns whether an entry serves and has a configuration in force. */
export async function isServing(address: string): Promise<boolean> {
	const health = await readJson<EntryHealth>(`${address}/health`);
	return health?.phase === 'serving' && health.version > 0;
}

/** Lists the entry addresses that an entry advertises to callers. */
export async function listAdvertisedAddresses(
	address: string,
): Promise<readonly string[]> {
	const answer = await readJson<{addresses: readonly string[]}>(
		`${address}/v1/addresses`,
	);
	return answer?.addresses ?? [];
}

/** Lists the backend servers that an entry knows. */
export async function listBackends(
	address: string,
	operatorKey: string,
): Promise<readonly BackendStatus[]> {
	const status = await readJson<{backends: readonly BackendStatus[]}>(
		`${address}/v1/operator/status`,
		operatorKey,
	);
	return status?.backends ?? [];
}
