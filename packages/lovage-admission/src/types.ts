/** A request that waits for its first attempt. */
export type WaitingRequest = Readonly<{
	id: string;
	customer: string;
	/** Higher goes first. */
	priority: number;
	/** Monotonic time by which the work must have ended. */
	deadline?: number;
	/** Expected work, in any unit that is the same for all (such as tokens). */
	cost: number;
	/** Expected time from start to end, in milliseconds. */
	durationMs: number;
}>;

/** Work that goes on after a loss. */
export type ResumedRequest = Readonly<{
	id: string;
	/** Extra attempts of this request so far, this one included. */
	retries: number;
	/** Whether the caller has tokens of the answer. */
	isDelivered: boolean;
}>;

/** Why a request was not started. */
export type RefusalReason =
	'queue-full' | 'deadline-unmeetable' | 'retry-budget-spent';

/** Events of the queue of one service. Times are monotonic milliseconds. */
export type AdmissionEvent =
	| {kind: 'request-arrived'; request: WaitingRequest; now: number}
	/** An attempt was lost; another is asked for. */
	| {kind: 'resumed-arrived'; request: ResumedRequest; now: number}
	/** A started request found no place; it waits with the resumed ones. */
	| {kind: 'returned'; id: string; now: number}
	/** So many slots are free now. */
	| {kind: 'capacity'; freeSlots: number; now: number}
	/** A started request ended and its slot is free. */
	| {kind: 'finished'; id: string; now: number}
	/** The caller of a waiting request left. */
	| {kind: 'left'; id: string; now: number}
	| {kind: 'ticked'; now: number};

/** Effects of the queue, run by the host in order. */
export type AdmissionEffect =
	| {kind: 'start'; id: string}
	| {kind: 'refuse'; id: string; reason: RefusalReason; retryAfterMs: number};
