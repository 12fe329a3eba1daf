import {countFreeSlots, type Candidate} from '@lovagevalve/placement';
import type {Clock} from './clock.js';
import type {Platform} from './platform.js';
import type {Live} from './request.js';
import type {Deployment} from './scenario.js';
import type {Variant} from './variants.js';

const VIEW_LIFETIME_MS = 3500;
const AVOID_MS = 3000;

/** The engines as one entry sees them. */
export type BackendView = ReturnType<typeof createBackendView>;

/** Creates the view of one entry. */
export function createBackendView(
	parts: Readonly<{
		clock: Clock;
		platform: Platform;
		deployment: Deployment;
		variant: Variant;
	}>,
	live: ReadonlyMap<string, Live>,
) {
	const {clock, platform, deployment, variant} = parts;
	const inFlight = new Map<string, number>();
	const inFlightThen = new Map<string, number>();
	const avoidUntil = new Map<string, number>();
	platform.onReport((id) => {
		inFlightThen.set(id, inFlight.get(id) ?? 0);
	});

	const change = (id: string, by: number) => {
		inFlight.set(id, (inFlight.get(id) ?? 0) + by);
	};

	const listSuspects = (id: string): readonly string[] => {
		const {suspects} = platform.readQuarantine();
		return suspects.length === 0
			? []
			: [...live.values()]
					.filter((one) => one.backend === id)
					.map(({request}) => request.digest)
					.filter((digest) => suspects.includes(digest));
	};

	const isUsable = (id: string) =>
		clock.now() - platform.getReport(id).arrivedAt < VIEW_LIFETIME_MS &&
		clock.now() >= (avoidUntil.get(id) ?? 0);

	const listCandidates = (): readonly Candidate[] =>
		platform.engines
			.filter(({id}) => isUsable(id))
			.map(({id, dataCentre, capacity}) => {
				const {running, waiting, incarnation} = platform.getReport(id);
				const own = inFlight.get(id) ?? 0;
				const then = variant.ownCounts ? (inFlightThen.get(id) ?? 0) : own;
				return {
					id,
					dataCentre,
					state: 'serving',
					incarnation,
					capacity,
					models: [],
					inFlight: variant.ownCounts ? own : 0,
					report: {
						running,
						waiting,
						inFlightAtReport: variant.ownCounts ? then : 0,
					},
					cachedPrefixes: platform.getCached(id),
					suspects: listSuspects(id),
				};
			});

	return {
		listCandidates,
		/** Slots that this entry may fill. */
		countFree: () => countFreeSlots(listCandidates(), deployment.entries),
		hold(one: Live, backend: string) {
			one.backend = backend;
			change(backend, 1);
		},
		release(one: Live) {
			if (one.backend !== undefined) {
				change(one.backend, -1);
				one.backend = undefined;
			}
		},
		avoid(id: string) {
			avoidUntil.set(id, clock.now() + AVOID_MS);
		},
	};
}
