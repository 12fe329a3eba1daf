import type {StoredAnswer} from '@lovagevalve/claims';

/** Where a caller's answer had got to, as an authenticated cursor says. */
export type Cursor = Readonly<{
	customer: string;
	requestId: string;
	generation: string;
	backend: string;
	attempt: number;
	/** Entry that wrote the cursor. */
	entry: string;
	/** Tokens that the caller has. */
	offset: number;
}>;

/** A caller's request to generate. Sizes in bytes of UTF-8. */
export type GenerationInput = Readonly<{
	requestId: string;
	service: string;
	model?: string;
	promptBytes: number;
	maxTokens: number;
	deadlineMs?: number;
	/** Digest of service, model, prompt and limits. */
	digest: string;
	/** Digests of the prompt's leading blocks, shortest first. */
	prefixes: readonly string[];
	cursor?: Cursor;
	/** Whether the caller sent the tokens before the cursor, and they match it. */
	hasDelivered: boolean;
}>;

/** A caller's call of a plain service. */
export type CallInput = Readonly<{
	requestId: string;
	attempt: number;
	service: string;
	operation: string;
	deadlineMs?: number;
	/** Digest of service, operation and body. */
	digest: string;
}>;

/** Body and status of a backend server's answer to a call. */
export type CallResult = Readonly<StoredAnswer>;
