import {fetch} from 'undici';

const REQUEST_TIMEOUT_MS = 1000;

/** Health of an entry as it tells anybody. */
export type EntryHealth = Readonly<{phase: string; version: number}>;

/** What an entry tells operators about a backend server. */
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

/** Tells whether a control instance answers its health check. */
export async function isResponding(address: string): Promise<boolean> {
	return (await readJson(`${address}/health`)) !== undefined;
}

/** Tells whether an entry serves with a configuration in force. */
export async function isServing(address: string): Promise<boolean> {
	const health = await readJson<EntryHealth>(`${address}/health`);
	return health?.phase === 'serving' && health.version > 0;
}

/** Lists the addresses that an entry names to callers, five at most. */
export async function listAdvertisedAddresses(
	address: string,
): Promise<readonly string[]> {
	const answer = await readJson<{addresses: readonly string[]}>(
		`${address}/v1/addresses`,
	);
	return answer?.addresses ?? [];
}

/** Lists the backend servers in an entry's view. */
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
