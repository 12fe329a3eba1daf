import {
	createAdmission,
	stepAdmission,
	type AdmissionEvent,
	type RefusalReason,
} from '@lovagevalve/admission';
import {
	createGeneration,
	stepGeneration,
	type FailureReason,
	type GenerationEffect,
	type GenerationEvent,
	type GenerationTransition,
} from '@lovagevalve/generation';
import {chooseBackend} from '@lovagevalve/placement';
import {addWork, type RunResult} from './account.js';
import {createBackendView} from './backend-view.js';
import {recordOutcome} from './ends.js';
import {createEngineLinks} from './links.js';
import type {Clock} from './clock.js';
import type {Platform} from './platform.js';
import type {Random} from './random.js';
import {
	createLiveRequest,
	createWaitingRequest,
	type LiveRequest,
	type Request,
} from './request.js';
import type {Deployment} from './scenario.js';
import {createTimerScheduler} from './timers.js';
import type {Variant} from './variants.js';

const RETRY_LIMIT = 4;
const CAPACITY_PERIOD_MS = 250;
const QUEUE_LENGTH = 256;
/**
 * Delay before the work of an ended request is counted, as attempts run until
 * they are cancelled.
 */
const WORK_SETTLE_MS = 10_000;
/** Time for the control group to answer the report of a death. */
const DEATH_REPORT_ROUND_TRIP_MS = 6;

const FAILURE_REASONS: Readonly<Record<RefusalReason, FailureReason>> = {
	'queue-full': 'no-backend-server',
	'deadline-unmeetable': 'deadline-passed',
	'retry-budget-spent': 'retry-budget-spent',
};

/** Called with the outcome of each request. */
export type EndListener = (request: Request, outcome: string) => void;

/** A simulated entry that drives the decision functions for its requests. */
export type Entry = ReturnType<typeof createEntry>;

/** Creates an entry. */
export function createEntry(
	options: Readonly<{
		clock: Clock;
		random: Random;
		platform: Platform;
		deployment: Deployment;
		variant: Variant;
		result: RunResult;
		onEnd: EndListener;
	}>,
	dataCentre: string,
) {
	const {clock, random, platform, variant, result} = options;
	const liveRequests = new Map<string, LiveRequest>();
	const view = createBackendView(options, liveRequests);
	let admission = createAdmission({
		queueLength: QUEUE_LENGTH,
		resumedLength: QUEUE_LENGTH,
		retryShare: 0.1,
		shares: {},
		oldestEvery: 8,
		guards: variant.admissionGuards,
	});

	const admit = (event: AdmissionEvent) => {
		const transition = stepAdmission(admission, event);
		admission = transition.state;
		transition.effects.forEach((effect) => {
			if (effect.kind === 'start') {
				place(effect.id);
				return;
			}

			const reason = FAILURE_REASONS[effect.reason];
			update(effect.id, {
				kind: 'placement-refused',
				reason,
				now: clock.now(),
			});
		});
	};

	const place = (id: string) => {
		const liveRequest = liveRequests.get(id);
		if (liveRequest === undefined) {
			return;
		}

		const {digest, family} = liveRequest.request;
		const {suspects, leading, held, convicted} = platform.readQuarantine();
		if (convicted.includes(digest)) {
			update(id, {
				kind: 'placement-refused',
				reason: 'quarantined',
				now: clock.now(),
			});
			return;
		}

		const chosen = held.includes(digest)
			? undefined
			: chooseBackend(
					view.listCandidates(),
					{
						dataCentre,
						prefixes: [family],
						excluded: liveRequest.state.excluded,
						failedDataCentres: liveRequest.state.excluded.map(
							(lost) => platform.byId.get(lost)!.dataCentre,
						),
						suspect: suspects.includes(digest) ? digest : undefined,
						suspects,
						leading,
					},
					random.draw(),
					variant.placement,
				);
		if (chosen === undefined) {
			admit({kind: 'returned', id, now: clock.now()});
			return;
		}

		update(id, {kind: 'placed', backend: chosen.id, now: clock.now()});
	};

	const update = (id: string, event: GenerationEvent) => {
		const liveRequest = liveRequests.get(id);
		if (liveRequest !== undefined) {
			apply(liveRequest, stepGeneration(liveRequest.state, event));
		}
	};

	const apply = (
		liveRequest: LiveRequest,
		transition: GenerationTransition,
	) => {
		liveRequest.state = transition.state;
		transition.effects.forEach((effect) => {
			runEffect(liveRequest, effect);
		});
		armTimer(liveRequest);
	};

	const links = createEngineLinks(options, view, liveRequests, update);

	const armTimer = createTimerScheduler(clock, (liveRequest) => {
		apply(
			liveRequest,
			stepGeneration(liveRequest.state, {kind: 'ticked', now: clock.now()}),
		);
	});

	const runEffect = (liveRequest: LiveRequest, effect: GenerationEffect) => {
		const {id} = liveRequest.request;
		switch (effect.kind) {
			case 'place': {
				// A death is reported and answered before the affected requests are
				// placed again.
				clock.schedule(
					liveRequest.attempts.length === 0 ? 0 : DEATH_REPORT_ROUND_TRIP_MS,
					() => {
						requestPlace(liveRequest);
					},
				);
				return;
			}

			case 'deliver': {
				if (
					liveRequest.delivered === 0 &&
					!liveRequest.request.isOfBatchCustomer
				) {
					result.firstTokenMs.push(clock.now() - liveRequest.request.arrivedAt);
				}

				liveRequest.hasOffsetMismatch ||=
					effect.offset !== liveRequest.delivered;
				liveRequest.delivered += effect.count;
				return;
			}

			case 'report-resume': {
				(effect.inPlace ? result.inPlaceMs : result.resumeMs).push(
					effect.waitMs,
				);
				return;
			}

			case 'finish':
			case 'fail': {
				endRequest(
					liveRequest,
					effect.kind === 'finish' ? 'finished' : effect.reason,
				);
				return;
			}

			case 'start':
			case 'resume':
			case 'close':
			case 'probe':
			case 'cancel':
			case 'report-death': {
				links.run(liveRequest, effect);
				return;
			}

			case 'retain': {
				throw new Error(
					`Unexpected retain effect of generation ${id}: the simulation adopts none`,
				);
			}
		}
	};

	const requestPlace = (liveRequest: LiveRequest) => {
		const {request, state} = liveRequest;
		const now = clock.now();
		if (state.phase.kind !== 'placing') {
			return;
		}

		if (state.attempt === 0) {
			admit({
				kind: 'request-arrived',
				request: createWaitingRequest(request),
				now,
			});
		} else {
			admit({
				kind: 'resumed-arrived',
				request: {
					id: request.id,
					retries: state.retries,
					isDelivered: state.offset > 0,
				},
				now,
			});
		}

		refreshCapacity();
	};

	const endRequest = (liveRequest: LiveRequest, outcome: string) => {
		const {request} = liveRequest;
		const now = clock.now();
		liveRequests.delete(request.id);
		view.release(liveRequest);
		recordOutcome(result, liveRequest, outcome, now);
		clock.schedule(WORK_SETTLE_MS, () => {
			addWork(result, liveRequest.attempts, liveRequest.delivered);
		});
		const {suspects} = platform.readQuarantine();
		if (outcome === 'finished' && suspects.includes(request.digest)) {
			platform.applyQuarantine({
				kind: 'deaths-reported',
				deaths: [],
				completed: [request.digest],
				now,
			});
		}

		options.onEnd(request, outcome);
		if (liveRequest.attempts.length === 0) {
			return;
		}

		clock.schedule(0, () => {
			admit({kind: 'finished', id: request.id, now: clock.now()});
		});
	};

	const refreshCapacity = () => {
		admit({kind: 'capacity', freeSlots: view.countFree(), now: clock.now()});
	};

	const scheduleCapacityRefresh = () => {
		refreshCapacity();
		admit({kind: 'ticked', now: clock.now()});
		clock.schedule(CAPACITY_PERIOD_MS, scheduleCapacityRefresh);
	};

	clock.schedule(
		random.between(0, CAPACITY_PERIOD_MS),
		scheduleCapacityRefresh,
	);
	return {
		live: liveRequests,
		/** Accepts a request from a caller. */
		accept(request: Request) {
			result.requests++;
			const transition = createGeneration(
				{
					id: request.id,
					policy: variant.detection,
					retryLimit: RETRY_LIMIT,
					start: {kind: 'new'},
					guards: variant.generationGuards,
				},
				clock.now(),
			);
			const liveRequest = createLiveRequest(request, transition.state);
			liveRequests.set(request.id, liveRequest);
			apply(liveRequest, transition);
		},
		/** Silences all open streams from an engine; new streams work. */
		silence(backend: string) {
			[...liveRequests.values()]
				.filter((liveRequest) => liveRequest.backend === backend)
				.flatMap(({connections}) => [...connections.values()])
				.forEach((connection) => {
					connection.isSilent = true;
				});
		},
	};
}
