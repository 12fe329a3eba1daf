import type {BackendLoad, PlacementRequest} from '@lovagevalve/dispatch';

/**
 * Part of an engine's memory up to which its runs leave room for copies of other runs. Each
 * run has one copy at another engine and loads do not contain them, so that beyond half of
 * the memory runs are preempted for copies, and their prompts processed again.
 */
const MAX_RUNS_SHARE = 0.5;

/** Whether an engine has room for a copy of a run's KV cache besides its own runs. */
export function hasCopyRoom(
	load: Pick<BackendLoad, 'memoryTokens'>,
	{memoryTokens, engine}: Pick<PlacementRequest, 'memoryTokens' | 'engine'>,
): boolean {
	return (
		engine === undefined ||
		load.memoryTokens + memoryTokens <= engine.memoryTokens * MAX_RUNS_SHARE
	);
}
