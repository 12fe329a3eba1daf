/** Fixed properties and timings of one entry instance. Times in milliseconds. */
export type EntryOptions = Readonly<{
	id: string;
	/** Base URL towards callers, backend servers and other entries. */
	address: string;
	dataCentre: string;
	/** Differs at each start of the process. */
	incarnation: string;
	/** How often the lease is renewed. */
	renewEveryMs: number;
	/** How long callers may keep an answer with addresses. */
	addressLifetimeMs: number;
	/** How often backend servers announce themselves. */
	announceEveryMs: number;
	/** A backend server that was silent this long leaves the view. */
	announcementLifetimeMs: number;
	/** How long a generation outlives its caller's connection. */
	callerGraceMs: number;
	/** How long a home keeps the place of a generation. */
	homeLifetimeMs: number;
	/** Time for one exchange with a plain service. */
	callTimeoutMs: number;
	/** Attempts of an idempotent call, the first included. */
	callAttempts: number;
	/** Streams and calls open at the same time. */
	maxOpen: number;
}>;

/** Timings of an entry whose settings name none. */
export const DEFAULT_TIMINGS = {
	renewEveryMs: 1000,
	addressLifetimeMs: 10_000,
	announceEveryMs: 1000,
	announcementLifetimeMs: 4000,
	callerGraceMs: 10_000,
	homeLifetimeMs: 600_000,
	callTimeoutMs: 5000,
	callAttempts: 3,
	maxOpen: 4096,
} as const satisfies Omit<
	EntryOptions,
	'id' | 'address' | 'dataCentre' | 'incarnation'
>;
