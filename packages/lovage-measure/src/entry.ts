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
import {recordEnd} from './ends.js';
import {createLinks} from './links.js';
import type {Clock} from './clock.js';
import type {Platform} from './platform.js';
import type {Random} from './random.js';
import {createLive, createWaiting, type Live, type Request} from './request.js';
import type {Deployment} from './scenario.js';
import {createTimers} from './timers.js';
import type {Variant} from './variants.js';

const RETRY_LIMIT = 4;
const CAPACITY_PERIOD_MS = 250;
const QUEUE_LENGTH = 256;
const ACCOUNTS_CLOSE_MS = 10_000;
const ANSWER_MS = 6;

const FAILURE_REASONS: Readonly<Record<RefusalReason, FailureReason>> = {
	'queue-full': 'no-backend-server',
	'deadline-unmeetable': 'deadline-passed',
	'retry-budget-spent': 'retry-budget-spent',
};

/** Tells the scenario how a request ended. */
export type EndListener = (request: Request, outcome: string) => void;

/** An entry that drives the decision steps for its requests. */
export type Entry = ReturnType<typeof createEntry>;

/** Creates an entry. */
export function createEntry(
	parts: Readonly<{
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
	const {clock, random, platform, variant, result} = parts;
	const live = new Map<string, Live>();
	const view = createBackendView(parts, live);
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
		const one = live.get(id);
		if (one === undefined) {
			return;
		}

		const {digest, family} = one.request;
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
						excluded: one.state.excluded,
						failedDataCentres: one.state.excluded.map(
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
		const one = live.get(id);
		if (one !== undefined) {
			apply(one, stepGeneration(one.state, event));
		}
	};

	const apply = (one: Live, transition: GenerationTransition) => {
		one.state = transition.state;
		transition.effects.forEach((effect) => {
			runEffect(one, effect);
		});
		arm(one);
	};

	const links = createLinks(parts, view, live, update);

	const arm = createTimers(clock, (one) => {
		apply(one, stepGeneration(one.state, {kind: 'ticked', now: clock.now()}));
	});

	const runEffect = (one: Live, effect: GenerationEffect) => {
		const {id} = one.request;
		switch (effect.kind) {
			case 'place': {
				// The report of a death is answered before its victims are placed.
				clock.schedule(one.attempts.length === 0 ? 0 : ANSWER_MS, () => {
					requestPlace(one);
				});
				return;
			}

			case 'deliver': {
				if (one.delivered === 0 && !one.request.isOfBatchCustomer) {
					result.firstTokenMs.push(clock.now() - one.request.arrivedAt);
				}

				one.isSpliced ||= effect.offset !== one.delivered;
				one.delivered += effect.count;
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
				end(one, effect.kind === 'finish' ? 'finished' : effect.reason);
				return;
			}

			case 'start':
			case 'resume':
			case 'close':
			case 'probe':
			case 'cancel':
			case 'report-death': {
				links.run(one, effect);
				return;
			}

			case 'retain': {
				throw new Error(`Nothing is adopted here: ${id}`);
			}
		}
	};

	const requestPlace = (one: Live) => {
		const {request, state} = one;
		const now = clock.now();
		if (state.phase.kind !== 'placing') {
			return;
		}

		if (state.attempt === 0) {
			admit({
				kind: 'request-arrived',
				request: createWaiting(request),
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

	const end = (one: Live, outcome: string) => {
		const {request} = one;
		const now = clock.now();
		live.delete(request.id);
		view.release(one);
		recordEnd(result, one, outcome, now);
		clock.schedule(ACCOUNTS_CLOSE_MS, () => {
			addWork(result, one.attempts, one.delivered);
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

		parts.onEnd(request, outcome);
		if (one.attempts.length === 0) {
			return;
		}

		clock.schedule(0, () => {
			admit({kind: 'finished', id: request.id, now: clock.now()});
		});
	};

	const refreshCapacity = () => {
		admit({kind: 'capacity', freeSlots: view.countFree(), now: clock.now()});
	};

	const refreshLater = () => {
		refreshCapacity();
		admit({kind: 'ticked', now: clock.now()});
		clock.schedule(CAPACITY_PERIOD_MS, refreshLater);
	};

	clock.schedule(random.between(0, CAPACITY_PERIOD_MS), refreshLater);
	return {
		live,
		/** Takes a caller's request. */
		accept(request: Request) {
			result.requests++;
			const begun = createGeneration(
				{
					id: request.id,
					policy: variant.detection,
					retryLimit: RETRY_LIMIT,
					start: {kind: 'new'},
					guards: variant.generationGuards,
				},
				clock.now(),
			);
			const one = createLive(request, begun.state);
			live.set(request.id, one);
			apply(one, begun);
		},
		/** Silences every stream from one engine; new ones work. */
		silence(backend: string) {
			[...live.values()]
				.filter((one) => one.backend === backend)
				.flatMap(({connections}) => [...connections.values()])
				.forEach((connection) => {
					connection.isSilent = true;
				});
		},
	};
}
