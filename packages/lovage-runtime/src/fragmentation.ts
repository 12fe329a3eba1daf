/** Chunks up to which a body may be in pieces of any size. */
const MAX_SMALL_CHUNKS = 4096;
/** Mean size of the chunks of a longer body. Each chunk costs as much time as some hundred bytes. */
const MIN_MEAN_BYTES = 16;

/** Chunks and bytes of a body that have arrived. */
export type BodyProgress = {chunks: number; bytes: number};

/** Whether a body comes in so many small chunks that reading them takes the time of other exchanges. */
export function isFragmented({chunks, bytes}: Readonly<BodyProgress>): boolean {
	return chunks > MAX_SMALL_CHUNKS && bytes < chunks * MIN_MEAN_BYTES;
}

/** Counts the chunks of one body; returns why it is fragmented, or undefined. */
export function createChunkCount(): (chunk: Uint8Array) => string | undefined {
	const progress: BodyProgress = {chunks: 0, bytes: 0};
	return ({length}) => {
		progress.chunks += 1;
		progress.bytes += length;
		return isFragmented(progress)
			? `${progress.chunks} chunks of ${progress.bytes} bytes`
			: undefined;
	};
}

/** Chunks that are taken of a budget at once; a body in fewer chunks needs none. */
const CHUNKS_PER_LEASE = 256;

/**
 * Counts the chunks of one body, and takes those of a body in small chunks from the
 * budget of the process; returns whether a chunk may be read.
 */
export function createChunkLease(
	take: (chunks: number) => boolean,
): (chunk: Uint8Array) => boolean {
	let chunks = 0;
	let bytes = 0;
	let leased = CHUNKS_PER_LEASE;
	return ({length}) => {
		chunks += 1;
		bytes += length;
		if (chunks <= leased || bytes >= chunks * MIN_MEAN_BYTES) {
			return true;
		}

		leased = chunks + CHUNKS_PER_LEASE;
		return take(CHUNKS_PER_LEASE);
	};
}
