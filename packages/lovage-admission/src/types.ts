/** A request that is waiting for its first attempt. */
export type WaitingRequest = Readonly<{
	id: string;
	customer: string;
	/** Higher values start first. */
	priority: number;
	/** Monotonic time by which the request must be finished. */
	deadline?: number;
	/** Expected work, in one unit for all requests (such as tokens). */
	cost: number;
	/** Expected time from start to end, in milliseconds. */
	durationMs: number;
}>;

/** A request that continues after a lost attempt. */
export type ResumedRequest = Readonly<{
	id: string;
	/** Extra attempts of this request so far, including this one. */
	retries: number;
	/** Whether the caller has received tokens of the answer. */
	isDelivered: boolean;
}>;

/** Why a request was not started. */
export type RefusalReason =
	'queue-full' | 'deadline-unmeetable' | 'retry-budget-spent';

/** Events of the queue of one service. Times are monotonic milliseconds. */
export type AdmissionEvent =
	| {kind: 'request-arrived'; request: WaitingRequest; now: number}
	/** An attempt was lost and the request needs another one. */
	| {kind: 'resumed-arrived'; request: ResumedRequest; now: number}
	/** A started request could not be placed; it waits with the resumed ones. */
	| {kind: 'returned'; id: string; now: number}
	/** Number of slots that are free now. */
	| {kind: 'capacity'; freeSlots: number; now: number}
	/** A started request ended and its slot is free. */
	| {kind: 'finished'; id: string; now: number}
	/** The caller of a waiting request disconnected. */
	| {kind: 'left'; id: string; now: number}
	| {kind: 'ticked'; now: number};

/** Effects of the queue, run by the host in order. */
export type AdmissionEffect =
	| {kind: 'start'; id: string}
	| {kind: 'refuse'; id: string; reason: RefusalReason; retryAfterMs: number};
