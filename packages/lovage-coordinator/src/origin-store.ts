import type {Clock, Logger} from '@lovagevalve/runtime';
import type {OriginLog} from './origin-log.js';
import type {OriginRegistry} from './origin-registry.js';

/** Stores the origins that are reported to a control instance. */
export type OriginStore = Readonly<{
	/** Adds the origins that were stored before a restart to the registry. */
	load: () => Promise<void>;
	/** Stores what was reported since the last call; called several times a second. */
	store: () => Promise<void>;
	close: () => Promise<void>;
}>;

/** Dependencies of a store. */
export type OriginStoreOptions = Readonly<{
	clock: Clock;
	log: Logger;
	file: OriginLog;
	origins: Pick<OriginRegistry, 'restore' | 'takeReported'>;
}>;

/** Nothing is stored for this long after a failure. */
const PAUSE_MS = 5000;

/** Creates the store of a control instance. */
export function createOriginStore({
	clock,
	log,
	file,
	origins,
}: OriginStoreOptions): OriginStore {
	let isBusy = true;
	let pausedUntil = Number.NEGATIVE_INFINITY;
	return {
		async load() {
			const loaded = await file.load();
			isBusy = false;
			loaded.match(
				(stored) => {
					origins.restore(stored);
					log.info('The origins of streams are loaded.', {
						origins: stored.length,
					});
				},
				(reason) => {
					log.error('Failed to read the origins of streams.', {reason});
				},
			);
		},
		async store() {
			if (isBusy) {
				return;
			}

			const reported = origins.takeReported();
			if (reported.length === 0 || clock.now() < pausedUntil) {
				return;
			}

			isBusy = true;
			const stored = await file.append(reported);
			isBusy = false;
			if (stored.isErr()) {
				pausedUntil = clock.now() + PAUSE_MS;
				log.warn('Failed to store origins of streams.', {
					reason: stored.error,
					origins: reported.length,
				});
			}
		},
		close: file.close,
	};
}
