import type {EngineChunk} from './engine-stream.js';

/** Chunks and bytes without new tokens; a comment keeps a connection open for seconds. */
const MAX_IDLE_CHUNKS = 4096;
const MAX_IDLE_BYTES = 262_144;
/** In an event of the largest size, more would have under one character each. */
const MAX_CHUNK_TOKENS = 32_768;

/** Bounds what an engine sends without new tokens. */
export type IdleBound = Readonly<{
	/** Counts a chunk of the answer; whether it is within the bounds. */
	addBytes: (bytes: number) => boolean;
	addTokens: (chunk: EngineChunk) => void;
}>;

/** Creates the bound of one answer. */
export function createIdleBound(): IdleBound {
	let chunks = 0;
	let bytes = 0;
	let knownLength = 0;
	return {
		addBytes(added) {
			chunks += 1;
			bytes += added;
			return chunks <= MAX_IDLE_CHUNKS && bytes <= MAX_IDLE_BYTES;
		},
		addTokens({offset, tokens}) {
			const length = offset + tokens.length;
			if (length > knownLength) {
				knownLength = length;
				chunks = 0;
				bytes = 0;
			}
		},
	};
}

/**
 * Whether an engine may have made these tokens; `maxTokens` is the length of the whole
 * answer, with the tokens of earlier attempts.
 */
export function isWithinTokens(
	{offset, tokens}: EngineChunk,
	maxTokens: number,
): boolean {
	return (
		tokens.length <= MAX_CHUNK_TOKENS && offset + tokens.length <= maxTokens
	);
}

/** Replaces each line break by a line feed, also one that two chunks share. */
export function createLineBreakNormaliser(): (text: string) => string {
	let endsWithReturn = false;
	return (text) => {
		const rest = endsWithReturn && text.startsWith('\n') ? text.slice(1) : text;
		endsWithReturn = text === '' ? endsWithReturn : text.endsWith('\r');
		return rest.replaceAll(/\r\n?/g, '\n');
	};
}
