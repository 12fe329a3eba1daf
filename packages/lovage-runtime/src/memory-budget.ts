/** Side from which buffered bytes come. */
export type BufferSource = 'callers' | 'backends' | 'instances';

/** Bytes that are buffered when a holder asks for more. */
export type BufferUse = Readonly<{
	source: BufferSource;
	/** Bytes of all holders. */
	usedBytes: number;
	/** Bytes of all holders of the same source. */
	sourceBytes: number;
	/** Bytes of the holder in all its exchanges. */
	holderBytes: number;
	/** Bytes of the exchange that asks. */
	exchangeBytes: number;
	capacityBytes: number;
}>;

/** Whether bytes may be buffered, or whose bound they would pass. */
export type BufferDecision = 'grant' | 'source-full' | 'holder-full';

/** Part of what the other sources leave that one source may use. */
const SOURCE_SHARE = 2 / 3;
/** Part of what the other holders of a source leave that one holder may use. */
const HOLDER_SHARE = 1 / 2;
/** The same part for small messages of instances: several senders may share an address. */
const SMALL_MESSAGE_SHARE = 3 / 4;
/** Raft messages, reports and heartbeats have less, unless a configuration is in them. */
const MAX_SMALL_BYTES = 16_384;

/**
 * Decides whether a holder may buffer more bytes. The bounds shrink as others use
 * more, so that room is left for a holder that comes later, and together they stay
 * below the capacity.
 */
export function decideBuffering(
	{
		source,
		usedBytes,
		sourceBytes,
		holderBytes,
		exchangeBytes,
		capacityBytes,
	}: BufferUse,
	addedBytes: number,
): BufferDecision {
	const sourceLimit =
		(capacityBytes - (usedBytes - sourceBytes)) * SOURCE_SHARE;
	if (sourceBytes + addedBytes > sourceLimit) {
		return 'source-full';
	}

	const isSmallMessage =
		source === 'instances' && exchangeBytes + addedBytes <= MAX_SMALL_BYTES;
	const share = isSmallMessage ? SMALL_MESSAGE_SHARE : HOLDER_SHARE;
	const holderLimit = (sourceLimit - (sourceBytes - holderBytes)) * share;
	return holderBytes + addedBytes > holderLimit ? 'holder-full' : 'grant';
}

const MEGABYTE = 1_048_576;
/** Code, heap and tables of a program under its usual load. */
const WORKING_SET_BYTES = 96 * MEGABYTE;
/**
 * The rest of the memory is for the heap at its limit, for buffers of the sockets,
 * and for copies that are not collected yet.
 */
const BUFFER_SHARE = 0.3;
const MIN_CAPACITY_BYTES = 8 * MEGABYTE;

/** Bytes that a process may buffer in all its exchanges, from the memory that it may use. */
export function computeBufferCapacity(memoryBytes: number): number {
	return Math.max(
		MIN_CAPACITY_BYTES,
		Math.floor((memoryBytes - WORKING_SET_BYTES) * BUFFER_SHARE),
	);
}

/** Tenths of the memory limit from which on each further one is logged. */
const FIRST_LOGGED_TENTH = 5;

/**
 * Level up to which memory use is logged, in tenths of the limit: each one once, and
 * again after the use has fallen by more than a tenth.
 */
export function computeLoggedLevel(
	loggedLevel: number,
	residentBytes: number,
	limitBytes: number,
): number {
	const tenths = Math.floor((residentBytes * 10) / limitBytes);
	const level = tenths < FIRST_LOGGED_TENTH ? 0 : tenths;
	return level >= loggedLevel ? level : Math.min(loggedLevel, tenths + 1);
}
