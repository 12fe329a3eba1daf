import {countFreeSlots, type Candidate} from '@lovagevalve/placement';
import type {Clock} from './clock.js';
import type {Platform} from './platform.js';
import type {LiveRequest} from './request.js';
import type {Deployment} from './scenario.js';
import type {Variant} from './variants.js';

/** Age at which a load report is too old for its engine to be used. */
const REPORT_LIFETIME_MS = 3500;
/** Time for which an engine is not used after the entry reported its death. */
const AVOID_MS = 3000;

/** The engines as seen by one entry. */
export type BackendView = ReturnType<typeof createBackendView>;

/** Creates the view of one entry. */
export function createBackendView(
	options: Readonly<{
		clock: Clock;
		platform: Platform;
		deployment: Deployment;
		variant: Variant;
	}>,
	live: ReadonlyMap<string, LiveRequest>,
) {
	const {clock, platform, deployment, variant} = options;
	const inFlight = new Map<string, number>();
	const inFlightAtReport = new Map<string, number>();
	const avoidUntil = new Map<string, number>();
	platform.onReport((id) => {
		inFlightAtReport.set(id, inFlight.get(id) ?? 0);
	});

	const changeInFlight = (id: string, by: number) => {
		inFlight.set(id, (inFlight.get(id) ?? 0) + by);
	};

	const listSuspectDigests = (id: string): readonly string[] => {
		const {suspects} = platform.readQuarantine();
		return suspects.length === 0
			? []
			: [...live.values()]
					.filter((liveRequest) => liveRequest.backend === id)
					.map(({request}) => request.digest)
					.filter((digest) => suspects.includes(digest));
	};

	const isUsable = (id: string) =>
		clock.now() - platform.getReport(id).arrivedAt < REPORT_LIFETIME_MS &&
		clock.now() >= (avoidUntil.get(id) ?? 0);

	const listCandidates = (): readonly Candidate[] =>
		platform.engines
			.filter(({id}) => isUsable(id))
			.map(({id, dataCentre, capacity}) => {
				const {running, waiting, incarnation} = platform.getReport(id);
				const own = inFlight.get(id) ?? 0;
				const countAtReport = variant.usesOwnCounts
					? (inFlightAtReport.get(id) ?? 0)
					: own;
				return {
					id,
					dataCentre,
					state: 'serving',
					incarnation,
					capacity,
					models: [],
					inFlight: variant.usesOwnCounts ? own : 0,
					report: {
						running,
						waiting,
						inFlightAtReport: variant.usesOwnCounts ? countAtReport : 0,
					},
					cachedPrefixes: platform.getCached(id),
					suspects: listSuspectDigests(id),
				};
			});

	return {
		listCandidates,
		/** Number of free slots that this entry may use. */
		countFree: () => countFreeSlots(listCandidates(), deployment.entries),
		hold(liveRequest: LiveRequest, backend: string) {
			liveRequest.backend = backend;
			changeInFlight(backend, 1);
		},
		release(liveRequest: LiveRequest) {
			if (liveRequest.backend !== undefined) {
				changeInFlight(liveRequest.backend, -1);
				liveRequest.backend = undefined;
			}
		},
		avoid(id: string) {
			avoidUntil.set(id, clock.now() + AVOID_MS);
		},
	};
}
