import type {BackendRecord} from '@lovagevalve/dispatch';
import type {LoadReservation} from './load-reservations.js';

/** What an entry measures of its own runs at the engines of one service. */
export type EngineMeasures = Readonly<{
	/** Prompt tokens processed a millisecond; undefined before the first event of any run. */
	readTokensPerMs: () => number | undefined;
	/** Time for which a run occupies a slot; undefined before the first one ended. */
	readHoldMs: () => number | undefined;
}>;

/** The runs of this entry at the engines of one service. */
export type EngineLoads = EngineMeasures &
	Readonly<{
		/** Follows a reservation that was made after `prefillTokens` were ahead there. */
		follow: (
			reservation: LoadReservation,
			prompt: Readonly<{aheadTokens: number; promptTokens: number}>,
		) => LoadReservation;
		/** Starts that the other entries may not know of yet. */
		countRecentStarts: (id: string) => number;
		/** Ended runs that no report has contained yet. */
		countUnreportedEnds: (id: string) => number;
		/** Time for which the load has been the same as the other entries see it. */
		readUnchangedMs: (
			id: string,
			visible: Readonly<{running: number; prefillTokens: number}>,
		) => number;
		/** A report that tells of the ends so far is sent. */
		recordReport: () => void;
		/** Forgets engines that are no longer known. */
		retain: (isKnown: (id: string) => boolean) => void;
	}>;

/**
 * Time until every other entry has heard of a start: this entry's next report and the
 * next answer to another, 200 ms apart each, and as much for a slow machine.
 */
const VISIBLE_AFTER_MS = 500;
/** Weight of a new sample: estimates follow within a dozen requests. */
const SAMPLE_WEIGHT = 1 / 8;

type EngineLoad = {
	startedAt: number[];
	unreportedEnds: number;
	visibleRunning: number;
	prefillTokens: number;
	changedAt: number;
};

function average(known: number | undefined, sample: number): number {
	return known === undefined
		? sample
		: known + SAMPLE_WEIGHT * (sample - known);
}

/** Creates the loads of an entry without runs. */
export function createEngineLoads(
	now: () => number,
	onRelease: () => void,
): EngineLoads {
	const loads = new Map<string, EngineLoad>();
	/** Decayed tokens and milliseconds, so that long waits weigh as much as they last. */
	let tokens: number | undefined;
	let ms: number | undefined;
	let holdMs: number | undefined;

	const open = (id: string): EngineLoad => {
		const load = loads.get(id) ?? {
			startedAt: [],
			unreportedEnds: 0,
			visibleRunning: 0,
			prefillTokens: 0,
			changedAt: now(),
		};
		loads.set(id, load);
		return load;
	};

	return {
		readTokensPerMs: () =>
			tokens === undefined || ms === undefined || ms <= 0
				? undefined
				: tokens / ms,
		readHoldMs: () => holdMs,
		follow(reservation, {aheadTokens, promptTokens}) {
			const {id} = reservation.backend as Pick<BackendRecord, 'id'>;
			const sentAt = now();
			const load = open(id);
			if (load.unreportedEnds > 0) {
				load.unreportedEnds -= 1;
			} else {
				load.startedAt.push(sentAt);
			}

			let hasBegun = false;
			let isReleased = false;
			return {
				backend: reservation.backend,
				markPrefilled() {
					reservation.markPrefilled();
					if (!hasBegun && promptTokens > 0) {
						tokens = average(tokens, aheadTokens + promptTokens);
						ms = average(ms, Math.max(1, now() - sentAt));
					}

					hasBegun = true;
				},
				release() {
					reservation.release();
					if (isReleased) {
						return;
					}

					isReleased = true;
					// One that did not begin tells nothing of the room there.
					if (hasBegun) {
						open(id).unreportedEnds += 1;
						holdMs = average(holdMs, now() - sentAt);
					}

					onRelease();
				},
			};
		},
		countRecentStarts(id) {
			const load = loads.get(id);
			if (load === undefined || load.startedAt.length === 0) {
				return 0;
			}

			const since = now() - VISIBLE_AFTER_MS;
			load.startedAt = load.startedAt.filter((at) => at > since);
			return load.startedAt.length;
		},
		countUnreportedEnds: (id) => loads.get(id)?.unreportedEnds ?? 0,
		readUnchangedMs(id, {running, prefillTokens}) {
			const load = open(id);
			if (
				load.visibleRunning !== running ||
				load.prefillTokens !== prefillTokens
			) {
				load.visibleRunning = running;
				load.prefillTokens = prefillTokens;
				load.changedAt = now();
			}

			return now() - load.changedAt;
		},
		recordReport() {
			loads.forEach((load) => {
				load.unreportedEnds = 0;
			});
		},
		retain(isKnown) {
			[...loads.keys()]
				.filter((id) => !isKnown(id))
				.forEach((id) => {
					loads.delete(id);
				});
		},
	};
}
