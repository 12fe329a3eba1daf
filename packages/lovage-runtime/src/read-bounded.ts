import {createByteCollector} from './byte-collector.js';
import {createChunkCount} from './fragmentation.js';

const UNBOUNDED_ACCOUNT = {
	resize: () => true,
	canHold: () => true,
	takeSmallChunks: () => true,
	takeDiscardedChunks: () => true,
	release: () => undefined,
	close: () => undefined,
} as const;

/**
 * Reads a body in one buffer; throws, which ends the body, if it has more bytes or comes
 * in too many small chunks.
 */
export async function readBounded(
	body: AsyncIterable<unknown>,
	maxBytes: number,
): Promise<Uint8Array> {
	const collector = createByteCollector({account: UNBOUNDED_ACCOUNT, maxBytes});
	const findFragmentation = createChunkCount();
	for await (const chunk of body) {
		const bytes = chunk as Uint8Array;
		if (findFragmentation(bytes) !== undefined) {
			throw new Error('the body comes in too many small chunks');
		}

		if (collector.push(bytes) !== 'kept') {
			throw new Error(`the body exceeds ${maxBytes} bytes`);
		}
	}

	return collector.read();
}
