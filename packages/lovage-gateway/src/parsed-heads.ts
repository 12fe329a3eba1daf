import type {Server} from 'node:http';

/**
 * Longest limit of the HTTP parser, which holds so much of an unfinished head or trailer
 * for each connection.
 */
const MAX_PARSED_BYTES = 131_072;
/** Heads up to so many times the configured limit are refused with a reason. */
const PARSED_FACTOR = 2;

/** Limits the heads that the HTTP parser takes on connections from now on. */
export function limitParsedHeads(server: Server, maxHeaderBytes: number): void {
	// Node.js reads it for each connection; its types name it as an option only.
	Object.assign(server, {
		maxHeaderSize: Math.min(MAX_PARSED_BYTES, maxHeaderBytes * PARSED_FACTOR),
	});
}
