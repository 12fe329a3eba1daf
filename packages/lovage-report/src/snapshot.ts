import {z} from 'zod';
import {mergeRings, type Ring} from './ring.js';
import {
	createSeries,
	createSeriesKey,
	type Series,
	type ServiceLevelState,
} from './service-level.js';
import {WINDOW_NAMES, WINDOWS, type WindowName} from './windows.js';

const MAX_BUCKETS = 32;
const MAX_SERIES = 65_536;

const count = z.number().min(0);
const latencies = z.record(z.string().regex(/^\d{1,9}$/), count);

const bucketSchema = z.strictObject({
	finished: count,
	failed: count,
	refused: count,
	rejected: count,
	lateFirstTokens: count,
	lateResumes: count,
	resumes: z.strictObject({
		'connection-lost': count,
		'backend-server-lost': count,
		'entry-lost': count,
	}),
	work: count,
	extra: z.strictObject({
		'recomputed-prefill': count,
		'wasted-decode': count,
		'duplicate-attempt': count,
	}),
	firstTokenMs: latencies,
	resumeMs: latencies,
});

const ringSchema = z
	.array(z.strictObject({start: z.number(), bucket: bucketSchema}))
	.max(MAX_BUCKETS);

const seriesSchema = z.strictObject({
	customer: z.string().max(64),
	service: z.string().max(64),
	rings: z.strictObject({
		'5m': ringSchema,
		'1h': ringSchema,
		'6h': ringSchema,
		'3d': ringSchema,
	}),
});

/** Wire format of the counts of one entry, or of several merged ones. */
export const snapshotSchema = z.strictObject({
	format: z.literal(1),
	/** Wall-clock time in milliseconds. */
	takenAt: z.number(),
	series: z.array(seriesSchema).max(MAX_SERIES),
});

/** Counts of one entry, or the merged counts of several. */
export type ServiceLevelSnapshot = Readonly<{
	format: 1;
	takenAt: number;
	series: readonly Series[];
}>;

/** Takes a snapshot of the current counts. */
export function takeSnapshot(
	state: ServiceLevelState,
	now: number,
): ServiceLevelSnapshot {
	return {format: 1, takenAt: now, series: [...state.series.values()]};
}

/** Merges two series of the same customer and service. */
export function mergeSeries(a: Series, b: Series): Series {
	const rings = WINDOW_NAMES.map(
		(name) =>
			[name, mergeRings(a.rings[name], b.rings[name], WINDOWS[name])] as const,
	);
	return {...a, rings: Object.fromEntries(rings) as Record<WindowName, Ring>};
}

/** Merges the snapshots of several entries. */
export function mergeSnapshots(
	snapshots: readonly ServiceLevelSnapshot[],
): ServiceLevelSnapshot {
	const merged = new Map<string, Series>();
	snapshots
		.flatMap(({series}) => series)
		.forEach((series) => {
			const key = createSeriesKey(series.customer, series.service);
			const before =
				merged.get(key) ?? createSeries(series.customer, series.service);
			merged.set(key, mergeSeries(before, series));
		});
	return {
		format: 1,
		takenAt: Math.max(0, ...snapshots.map(({takenAt}) => takenAt)),
		series: [...merged.values()],
	};
}
