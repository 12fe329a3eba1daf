/**
 * What was measured of one incarnation of a backend server, decayed. Sums of several
 * entries add up.
 */
export type SpeedSums = Readonly<{
	/** Number of requests that were measured. */
	samples: number;
	/** Engines: prompt tokens ahead and own. Plain servers: rounds of full slots. */
	work: number;
	/** Engines: time to the first event. Plain servers: time to the answer. */
	ms: number;
	/** Events behind the first one of streams. */
	events: number;
	/** Time between them. */
	eventsMs: number;
}>;

/** Speed of a backend server as placement uses it. */
export type RelativeSpeed = Readonly<{
	/** Speed as a multiple of the service's median. */
	speed: number;
	/** Time between events under its load, as a multiple of the service's median. */
	eventSlowdown: number;
}>;

/** Sums of the backend servers of a service at an earlier time, by key. */
export type SpeedSnapshot = Readonly<{
	at: number;
	sums: ReadonlyMap<string, SpeedSums>;
}>;

/** Speeds of the backend servers of one service. */
export type ServiceSpeeds = Readonly<{
	/** Median work per millisecond; undefined until something is measured. */
	medianSpeed: number | undefined;
	/** Duration of a typical sample, in milliseconds. */
	sampleMs: number;
	/** Median time between events, in milliseconds; undefined without streams. */
	medianEventMs: number | undefined;
	/** Speed of the 90th percentile as a multiple of the 10th, without what is chance; 1 if nothing is left. */
	spread: number;
	/** Whether the speeds differ so clearly that requests are placed by them. */
	areDifferent: boolean;
	/** When they last did. */
	differentAt: number;
	/** Later samples are compared with it. */
	snapshot: SpeedSnapshot;
}>;

/**
 * Time in which a sample loses half of its weight. Speeds must be followed within 5 s,
 * when a sample of before then has less than a third of its weight; changes that last
 * 600 ms stay a small part of an estimate.
 */
export const SPEED_HALF_LIFE_MS = 3000;
/** Samples of the median that an estimate contains, so that a single one doesn't attract all load. */
const PRIOR_SAMPLES = 1;
/** Events of the median that it contains: less than those of a typical stream. */
const PRIOR_EVENTS = 50;
/** Weight under which sums count as empty: a tenth of what moves an estimate visibly. */
const MIN_SAMPLES = 0.02;
/** Bounds of what is used as relative speed; one out of them is a fault of the measurement. */
const MIN_RELATIVE = 0.1;
const MAX_RELATIVE = 10;
/** Shortest time of a sample; the clock's resolution. */
const MIN_SAMPLE_MS = 1;

/** Sums of a backend server that was not measured. */
export const NO_SPEED: SpeedSums = {
	samples: 0,
	work: 0,
	ms: 0,
	events: 0,
	eventsMs: 0,
};

/** Adds sums. */
export function addSpeeds(a: SpeedSums, b: SpeedSums): SpeedSums {
	return {
		samples: a.samples + b.samples,
		work: a.work + b.work,
		ms: a.ms + b.ms,
		events: a.events + b.events,
		eventsMs: a.eventsMs + b.eventsMs,
	};
}

/** Subtracts a part of a sum; rounding errors leave nothing negative. */
export function subtractSpeeds(sum: SpeedSums, part: SpeedSums): SpeedSums {
	return {
		samples: Math.max(0, sum.samples - part.samples),
		work: Math.max(0, sum.work - part.work),
		ms: Math.max(0, sum.ms - part.ms),
		events: Math.max(0, sum.events - part.events),
		eventsMs: Math.max(0, sum.eventsMs - part.eventsMs),
	};
}

/** Reduces sums by the time that has passed. */
export function decaySpeeds(sums: SpeedSums, elapsedMs: number): SpeedSums {
	const factor = 0.5 ** (Math.max(0, elapsedMs) / SPEED_HALF_LIFE_MS);
	return {
		samples: sums.samples * factor,
		work: sums.work * factor,
		ms: sums.ms * factor,
		events: sums.events * factor,
		eventsMs: sums.eventsMs * factor,
	};
}

/** Whether sums no longer say anything. */
export function areSpeedsFaded({samples, events}: SpeedSums): boolean {
	return samples < MIN_SAMPLES && events < 1;
}

/** Adds a request that was measured. */
export function addSpeedSample(
	sums: SpeedSums,
	{work, ms}: Readonly<{work: number; ms: number}>,
): SpeedSums {
	return {
		...sums,
		samples: sums.samples + 1,
		work: sums.work + work,
		ms: sums.ms + Math.max(MIN_SAMPLE_MS, ms),
	};
}

/** Adds the time between two events of a stream. */
export function addEventGap(sums: SpeedSums, ms: number): SpeedSums {
	return {
		...sums,
		events: sums.events + 1,
		eventsMs: sums.eventsMs + Math.max(0, ms),
	};
}

/**
 * Work of a request to a plain server at which `running` others were when it was sent.
 * While slots are free, it is the service time that is measured.
 */
export function computePlainWork(running: number, slots: number): number {
	return Math.max(1, (running + 1) / Math.max(1, slots));
}

function pullToMedian(
	sums: SpeedSums,
	medianSpeed: number,
	priorMs: number,
): number {
	return (sums.work + priorMs * medianSpeed) / (sums.ms + priorMs);
}

/**
 * Estimates the work per millisecond of a backend server. It is the median of its
 * service while nothing is known of it, and becomes so again when it is silent:
 * then a slow one gets requests again, and its speed is measured again.
 */
export function estimateSpeed(
	{medianSpeed, sampleMs}: ServiceSpeeds,
	sums: SpeedSums,
): number | undefined {
	return medianSpeed === undefined
		? undefined
		: pullToMedian(sums, medianSpeed, PRIOR_SAMPLES * sampleMs);
}

function limitRelative(value: number): number {
	return Math.min(MAX_RELATIVE, Math.max(MIN_RELATIVE, value));
}

/** Speed of a backend server for placement; undefined where the speeds of its service are alike. */
export function computeRelativeSpeed(
	service: ServiceSpeeds,
	sums: SpeedSums,
): RelativeSpeed | undefined {
	const {medianSpeed, medianEventMs, areDifferent} = service;
	const estimate = estimateSpeed(service, sums);
	if (!areDifferent || medianSpeed === undefined || estimate === undefined) {
		return undefined;
	}

	const eventSlowdown =
		medianEventMs === undefined
			? 1
			: (sums.eventsMs + PRIOR_EVENTS * medianEventMs) /
				(sums.events + PRIOR_EVENTS) /
				medianEventMs;
	return {
		speed: limitRelative(estimate / medianSpeed),
		eventSlowdown: limitRelative(eventSlowdown),
	};
}
