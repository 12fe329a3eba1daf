import type {OriginReport, StreamOrigin} from '@lovagevalve/dispatch';
import type {Clock} from '@lovagevalve/runtime';

/** Origins of streams as the entries report them. */
export type OriginRegistry = Readonly<{
	applyReport: (origins: readonly OriginReport[]) => void;
	find: (key: string) => StreamOrigin | undefined;
	count: () => number;
}>;

/** Limit of the origins in memory, about 30 MB; the oldest are dropped first. */
const MAX_ORIGINS = 200_000;
/** Longest time for which an origin is kept. */
const MAX_KEEP_MS = 900_000;

/** Creates a registry without any origins. */
export function createOriginRegistry(clock: Clock): OriginRegistry {
	const known = new Map<
		string,
		Readonly<{origin: StreamOrigin; until: number}>
	>();

	const removeExpired = (): void => {
		const now = clock.now();
		for (const [key, {until}] of known) {
			if (until > now && known.size <= MAX_ORIGINS) {
				return;
			}

			known.delete(key);
		}
	};

	return {
		applyReport(origins) {
			const now = clock.now();
			origins.forEach(([key, service, softwareVersion, keepMs]) => {
				known.delete(key);
				known.set(key, {
					origin: {service, softwareVersion},
					until: now + Math.min(keepMs, MAX_KEEP_MS),
				});
			});
			removeExpired();
		},
		find: (key) => known.get(key)?.origin,
		count: () => known.size,
	};
}
