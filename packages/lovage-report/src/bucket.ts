import {objectiveOf, type Rules} from '@lovagevalve/inventory';
import {
	EXTRA_CAUSES,
	RESUME_CAUSES,
	type ExtraCause,
	type ResumeCause,
	type ServiceLevelEvent,
} from './events.js';
import {
	addLatency,
	mergeLatencies,
	type LatencyCounts,
} from './latency-counts.js';

/** Events about requests; excludes changes of the rules. */
export type RequestEvent = Exclude<ServiceLevelEvent, {kind: 'rules-changed'}>;

/** Counts of one time interval. */
export type Bucket = Readonly<{
	finished: number;
	failed: number;
	refused: number;
	rejected: number;
	lateFirstTokens: number;
	lateResumes: number;
	resumes: Readonly<Record<ResumeCause, number>>;
	work: number;
	extra: Readonly<Record<ExtraCause, number>>;
	firstTokenMs: LatencyCounts;
	resumeMs: LatencyCounts;
}>;

/** A bucket with all counts at zero. */
export const EMPTY_BUCKET: Bucket = {
	finished: 0,
	failed: 0,
	refused: 0,
	rejected: 0,
	lateFirstTokens: 0,
	lateResumes: 0,
	resumes: {'connection-lost': 0, 'backend-server-lost': 0, 'entry-lost': 0},
	work: 0,
	extra: {'recomputed-prefill': 0, 'wasted-decode': 0, 'duplicate-attempt': 0},
	firstTokenMs: {},
	resumeMs: {},
};

function countFirstToken(
	bucket: Bucket,
	waitMs: number,
	limitMs: number,
	hasLatencies: boolean,
): Bucket {
	return {
		...bucket,
		lateFirstTokens: bucket.lateFirstTokens + (waitMs > limitMs ? 1 : 0),
		firstTokenMs: hasLatencies
			? addLatency(bucket.firstTokenMs, waitMs)
			: bucket.firstTokenMs,
	};
}

function countResume(
	bucket: Bucket,
	event: Extract<RequestEvent, {kind: 'resumed'}>,
	limitMs: number,
	hasLatencies: boolean,
): Bucket {
	const {cause, waitMs} = event;
	return {
		...bucket,
		lateResumes: bucket.lateResumes + (waitMs > limitMs ? 1 : 0),
		resumes: {...bucket.resumes, [cause]: bucket.resumes[cause] + 1},
		resumeMs: hasLatencies
			? addLatency(bucket.resumeMs, waitMs)
			: bucket.resumeMs,
	};
}

/** Adds an event to a bucket; a latency above the service's objective counts as late. */
export function countEvent(
	bucket: Bucket,
	event: RequestEvent,
	rules: Rules,
	hasLatencies: boolean,
): Bucket {
	switch (event.kind) {
		case 'first-token': {
			const {firstTokenWithinMs} = objectiveOf(rules, event.service);
			return countFirstToken(
				bucket,
				event.waitMs,
				firstTokenWithinMs,
				hasLatencies,
			);
		}

		case 'resumed': {
			const {resumeWithinMs} = objectiveOf(rules, event.service);
			return countResume(bucket, event, resumeWithinMs, hasLatencies);
		}

		case 'ended': {
			return {...bucket, [event.outcome]: bucket[event.outcome] + 1};
		}

		case 'worked': {
			return {...bucket, work: bucket.work + event.amount};
		}

		case 'extra-used': {
			const {cause, amount} = event;
			const extra = {...bucket.extra, [cause]: bucket.extra[cause] + amount};
			return {...bucket, extra};
		}
	}
}

function addRecords<Key extends string>(
	keys: readonly Key[],
	a: Readonly<Record<Key, number>>,
	b: Readonly<Record<Key, number>>,
): Readonly<Record<Key, number>> {
	return Object.fromEntries(
		keys.map((key) => [key, a[key] + b[key]]),
	) as Record<Key, number>;
}

/** Merges two buckets by adding their counts. */
export function mergeBuckets(a: Bucket, b: Bucket): Bucket {
	return {
		finished: a.finished + b.finished,
		failed: a.failed + b.failed,
		refused: a.refused + b.refused,
		rejected: a.rejected + b.rejected,
		lateFirstTokens: a.lateFirstTokens + b.lateFirstTokens,
		lateResumes: a.lateResumes + b.lateResumes,
		resumes: addRecords(RESUME_CAUSES, a.resumes, b.resumes),
		work: a.work + b.work,
		extra: addRecords(EXTRA_CAUSES, a.extra, b.extra),
		firstTokenMs: mergeLatencies(a.firstTokenMs, b.firstTokenMs),
		resumeMs: mergeLatencies(a.resumeMs, b.resumeMs),
	};
}
