import type {OriginRegistry} from './origin-registry.js';
import type {VersionHistory} from './version-history.js';

/** Settings of a registry. */
export type RegistryOptions = Readonly<{
	/** Distinguishes this start of the instance from others. */
	epoch: number;
	versions: VersionHistory;
	origins: OriginRegistry;
	/** Returns a random number in [0, 1). */
	random: () => number;
}>;
