/** Work that instances hold at one backend server. */
export type BackendLoad = Readonly<{
	/** Requests under way. */
	running: number;
	/** Prompt tokens whose first event is still awaited. */
	prefillTokens: number;
	/** Tokens that the requests take in the memory of an engine. */
	memoryTokens: number;
}>;

/** No work. */
export const NO_LOAD: BackendLoad = {
	running: 0,
	prefillTokens: 0,
	memoryTokens: 0,
};

/** Adds the work of two instances. */
export function addLoad(a: BackendLoad, b: BackendLoad): BackendLoad {
	return {
		running: a.running + b.running,
		prefillTokens: a.prefillTokens + b.prefillTokens,
		memoryTokens: a.memoryTokens + b.memoryTokens,
	};
}
