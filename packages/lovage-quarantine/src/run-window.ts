/** Time within which a request that crashes its backend server does so, from its first output. */
const START_WINDOW_MS = 1000;

/**
 * Whether a run that ended with its backend server may have caused that;
 * `runningMs` is the time since its first output, if there was any. A run that is
 * past this window has shown that neither its request nor a part of its prompt
 * crashes backend servers.
 */
export function isInStartWindow(runningMs: number | undefined): boolean {
	return runningMs === undefined || runningMs < START_WINDOW_MS;
}
