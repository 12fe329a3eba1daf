import type {LimitNotice} from './rate-limit.js';

/** What a backend server says about itself in the headers of an answer. */
export type BackendNotice = Readonly<{
	/** It is shutting down; this holds for the rest of the incarnation. */
	isLeaving: boolean;
	/** It asks this instance to send nothing for this long, in milliseconds. */
	pushbackMs?: number;
	/** Its limit; absent if the answer is none of the backend server that was meant. */
	limit?: LimitNotice;
	/**
	 * Rejections a second for want of room beyond which it falls over; absent as
	 * `limit` is.
	 */
	brittle?: LimitNotice;
}>;

/** Notices of one incarnation of a backend server that are still in force. */
export type BackendNotices = Readonly<{
	/** Start of the incarnation, in Unix milliseconds by its machine's clock. */
	bornAt: number;
	isLeaving: boolean;
	/** End of the time without requests, in monotonic milliseconds. */
	pushbackUntil: number;
}>;

/** Why a backend server must not receive requests from this instance. */
export type ClosedReason = 'leaving' | 'pushback';

/** Adds a notice; one of an earlier incarnation neither applies to a later one nor replaces its notices. */
export function recordNotice(
	notices: BackendNotices | undefined,
	bornAt: number,
	notice: BackendNotice,
	now: number,
): BackendNotices {
	if (notices !== undefined && notices.bornAt > bornAt) {
		return notices;
	}

	const known =
		notices?.bornAt === bornAt
			? notices
			: {bornAt, isLeaving: false, pushbackUntil: 0};
	return {
		bornAt,
		isLeaving: known.isLeaving || notice.isLeaving,
		// An answer that was overtaken by a later one can't shorten the pushback.
		pushbackUntil: Math.max(
			known.pushbackUntil,
			now + (notice.pushbackMs ?? 0),
		),
	};
}

/** Why the incarnation must not receive requests now; undefined if it may. */
export function findClosedReason(
	notices: BackendNotices | undefined,
	bornAt: number,
	now: number,
): ClosedReason | undefined {
	if (notices?.bornAt !== bornAt) {
		return undefined;
	}

	if (notices.isLeaving) {
		return 'leaving';
	}

	return now < notices.pushbackUntil ? 'pushback' : undefined;
}
