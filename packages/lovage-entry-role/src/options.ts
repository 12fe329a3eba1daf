/** Fixed properties and timings of one entry instance. Times in milliseconds. */
export type EntryOptions = Readonly<{
	id: string;
	/** Base URL that callers, backend servers and other entries use. */
	address: string;
	dataCentre: string;
	/** Differs at each start of the process. */
	incarnation: string;
	/** Interval between lease renewals. */
	renewEveryMs: number;
	/** How long callers may cache a list of entry addresses. */
	addressLifetimeMs: number;
	/** Interval between announcements of a backend server. */
	announceEveryMs: number;
	/** A backend server that sends no announcement for this long gets no new work. */
	announcementLifetimeMs: number;
	/** How long an attempt keeps running after its caller disconnected. */
	callerGraceMs: number;
	/** How long a home entry stores the location of a generation. */
	homeLifetimeMs: number;
	/** Timeout of one exchange with a plain service. */
	callTimeoutMs: number;
	/** Maximum attempts of a call, including the first. */
	callAttempts: number;
	/** Maximum number of streams and calls open at the same time. */
	maxOpen: number;
}>;

/** Default timings and limits. */
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
