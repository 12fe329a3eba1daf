import {decideDrainAdmission} from '@lovagevalve/dispatch';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import type {AnswerTimes} from './answer-times.js';
import type {DrainCheck} from './context.js';
import {CUT_OFF_HEADER} from './peer-relay.js';

/** Admission of requests to an entry that stops. */
export type DrainGate = DrainCheck &
	Readonly<{
		/** Announces the end of the process, in monotonic milliseconds. */
		announceEnd: (endsAt: number) => void;
	}>;

/** Dependencies of the gate. */
export type DrainGateDependencies = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
	answerTimes: Pick<AnswerTimes, 'readLongest'>;
	/** Whether other entries are advertised to callers. */
	hasOthers: () => boolean;
}>;

/** Creates the gate of an entry that isn't draining. */
export function createDrainGate({
	clock,
	log,
	metrics,
	answerTimes,
	hasOthers,
}: DrainGateDependencies): DrainGate {
	let endsAt: number | undefined;
	return {
		announceEnd(at) {
			endsAt = at;
		},
		check({metadata, route, deadlineAt, isRelayed}) {
			if (endsAt === undefined) {
				return undefined;
			}

			const now = clock.now();
			const leftMs = endsAt - now;
			const decision = decideDrainAdmission({
				leftMs,
				allowedMs: deadlineAt - now,
				longestMs: answerTimes.readLongest(route.name),
				isResumable: route.kind === 'stream' && route.isResumable,
				hasOthers: hasOthers(),
			});
			metrics.count('drain_requests', {decision: decision.kind});
			log.info('A request reached a draining entry.', {
				request: metadata.id,
				decision: decision.kind,
				leftMs: Math.round(leftMs),
				neededMs: Math.round(decision.neededMs),
			});
			return decision.kind === 'accept'
				? undefined
				: {
						status: 503,
						reason: 'this entry ends before the answer would be complete',
						retryAfterMs: decision.retryAfterMs,
						// Another entry that sent it on tries the next one.
						...(isRelayed ? {headers: {[CUT_OFF_HEADER]: '1'}} : {}),
					};
		},
	};
}
