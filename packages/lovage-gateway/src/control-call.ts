import type {PeerClient} from '@lovagevalve/runtime';
import {err, ok, type Result} from 'neverthrow';

/** A call to a control instance. */
export type ControlCall = Readonly<{
	address: string;
	path: string;
	body: unknown;
	timeoutMs: number;
}>;

/** Reason of an answer of another shape. */
export const MALFORMED_ANSWER = 'malformed answer';

/** Calls a control instance; an answer that can't be decoded counts as none. */
export async function callControl<T>(
	client: PeerClient,
	{address, path, body, timeoutMs}: ControlCall,
	decode: (answer: unknown) => T | undefined,
): Promise<Result<T, string>> {
	try {
		const response = await client.call<unknown>(address, path, body, timeoutMs);
		return response.andThen((answer) => {
			const decoded = decode(answer);
			return decoded === undefined ? err(MALFORMED_ANSWER) : ok(decoded);
		});
	} catch (error) {
		// The client throws for an address that can't be connected to.
		return err(String(error));
	}
}

/** Reads the text of a configuration. */
export function readConfigurationText(answer: unknown): string | undefined {
	const text = (answer as Readonly<{text?: unknown}> | undefined)?.text;
	return typeof text === 'string' ? text : undefined;
}
