import type {StoredAnswer} from '@lovagevalve/claims';

/** Position in a caller's answer, taken from an authenticated cursor. */
export type Cursor = Readonly<{
	customer: string;
	requestId: string;
	generation: string;
	backend: string;
	attempt: number;
	/** Entry that issued the cursor. */
	entry: string;
	/** Number of tokens that the caller has received. */
	offset: number;
}>;

/** A caller's generation request. Sizes are in bytes of UTF-8. */
export type GenerationInput = Readonly<{
	requestId: string;
	service: string;
	model?: string;
	promptBytes: number;
	maxTokens: number;
	deadlineMs?: number;
	/** Digest of the service, model, prompt and limits. */
	digest: string;
	/** Digests of the prompt's leading blocks, shortest first. */
	prefixes: readonly string[];
	cursor?: Cursor;
	/** Whether the request contains the tokens before the cursor and they match it. */
	hasDelivered: boolean;
}>;

/** A caller's call of a plain service. */
export type CallInput = Readonly<{
	requestId: string;
	attempt: number;
	service: string;
	operation: string;
	deadlineMs?: number;
	/** Digest of the service, operation and body. */
	digest: string;
}>;

/** Status and body of a backend server's response to a call. */
export type CallResult = Readonly<StoredAnswer>;
