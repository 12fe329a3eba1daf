/** Load on one backend server. */
export type BackendLoad = Readonly<{
	/** Requests in flight. */
	running: number;
	/** Prompt tokens of requests without a first event yet. */
	prefillTokens: number;
	/** Tokens of the requests in an engine's KV cache. */
	memoryTokens: number;
}>;

export const NO_LOAD: BackendLoad = {
	running: 0,
	prefillTokens: 0,
	memoryTokens: 0,
};

/** Returns a load without a part of it. */
export function subtractLoad(a: BackendLoad, b: BackendLoad): BackendLoad {
	return {
		running: a.running - b.running,
		prefillTokens: a.prefillTokens - b.prefillTokens,
		memoryTokens: a.memoryTokens - b.memoryTokens,
	};
}

/** Returns the sum of two loads. */
export function addLoad(a: BackendLoad, b: BackendLoad): BackendLoad {
	return {
		running: a.running + b.running,
		prefillTokens: a.prefillTokens + b.prefillTokens,
		memoryTokens: a.memoryTokens + b.memoryTokens,
	};
}
