import {Buffer} from 'node:buffer';
import type {BufferAccount} from './buffer-budget.js';

/** Whether a chunk was kept; the bytes before it stay if it was not. */
export type CollectOutcome = 'kept' | 'too-large' | 'no-room';

/** Collects the chunks of a body in one buffer, so that small chunks cost no more than large ones. */
export type ByteCollector = Readonly<{
	push: (chunk: Uint8Array) => CollectOutcome;
	/** The bytes so far; valid until the next push. */
	read: () => Uint8Array;
	/** Gives the buffer up. */
	release: () => void;
}>;

/** Bounds of a collector. */
export type ByteCollectorOptions = Readonly<{
	/** Accounts for the buffer, not only for the bytes in it. */
	account: BufferAccount;
	maxBytes: number;
	/** Length that the sender has announced. */
	expectedBytes?: number;
}>;

const INITIAL_BYTES = 1024;

/** Creates a collector; the buffer doubles, so that the cost is linear in the bytes. */
export function createByteCollector({
	account,
	maxBytes,
	expectedBytes,
}: ByteCollectorOptions): ByteCollector {
	let buffer = Buffer.alloc(0);
	let size = 0;

	const chooseCapacity = (needed: number): number => {
		const doubled = Math.max(INITIAL_BYTES, buffer.length * 2, needed);
		const limit =
			expectedBytes !== undefined && expectedBytes >= needed
				? Math.min(expectedBytes, maxBytes)
				: maxBytes;
		return Math.min(doubled, limit);
	};

	return {
		push(chunk) {
			const needed = size + chunk.length;
			if (needed > maxBytes) {
				return 'too-large';
			}

			if (needed > buffer.length) {
				const capacity = chooseCapacity(needed);
				if (!account.resize(capacity)) {
					return 'no-room';
				}

				const grown = Buffer.allocUnsafeSlow(capacity);
				buffer.copy(grown, 0, 0, size);
				buffer = grown;
			}

			buffer.set(chunk, size);
			size = needed;
			return 'kept';
		},
		read: () => buffer.subarray(0, size),
		release() {
			buffer = Buffer.alloc(0);
			size = 0;
			account.release();
		},
	};
}
