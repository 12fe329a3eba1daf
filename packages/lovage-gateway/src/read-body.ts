import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Result of reading a request body. */
export type BodyOutcome =
	| Readonly<{kind: 'read'; body: Uint8Array | undefined}>
	| Readonly<{kind: 'too-large'}>
	/** The caller closed the connection. */
	| Readonly<{kind: 'aborted'}>;

/**
 * Reads a request body of at most `maxBytes`; `body` is undefined for requests
 * without one.
 */
export async function readBody(
	req: IncomingMessage,
	maxBytes: number,
): Promise<BodyOutcome> {
	const hasBody =
		req.headers['content-length'] !== undefined ||
		req.headers['transfer-encoding'] !== undefined;
	if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
		return {kind: 'too-large'};
	}

	return new Promise((resolve) => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		req.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maxBytes) {
				resolve({kind: 'too-large'});
				return;
			}

			chunks.push(chunk);
		});
		req.on('end', () => {
			resolve({
				kind: 'read',
				body: hasBody ? Buffer.concat(chunks) : undefined,
			});
		});
		req.on('error', () => {
			resolve({kind: 'aborted'});
		});
		req.on('close', () => {
			resolve({kind: 'aborted'});
		});
	});
}
