import {z} from 'zod';

const requestId = z.string().regex(/^[\w.:-]{1,128}$/);

/** Body of `POST /v1/generations`. The bearer key identifies the customer. */
export const generationRequestSchema = z.strictObject({
	requestId,
	service: z.string().min(1).max(63),
	model: z.string().min(1).max(63).optional(),
	prompt: z.string().min(1),
	maxTokens: z.number().int().min(1),
	/** Time from now after which the complete response is no longer useful. */
	deadlineMs: z.number().int().min(1).max(604_800_000).optional(),
	/**
	 * Tokens that the caller has already received; sent together with
	 * `Last-Event-ID`.
	 */
	delivered: z.array(z.string()).max(1_000_000).optional(),
});

/** Body of `POST /v1/calls`. */
export const callRequestSchema = z.strictObject({
	requestId,
	/** Starts at 1; the caller increments it when it retries after "not run". */
	attempt: z.number().int().min(1).max(1000).default(1),
	service: z.string().min(1).max(63),
	operation: z.string().min(1).max(64),
	body: z.json(),
	deadlineMs: z.number().int().min(1).max(604_800_000).optional(),
});

/** A validated generation request. */
export type GenerationRequest = z.output<typeof generationRequestSchema>;
/** A validated call to a plain service. */
export type CallRequest = z.output<typeof callRequestSchema>;

/** Response of `GET /v1/addresses`. */
export type AddressesResponse = Readonly<{
	/** Base URLs in the order in which to try them. */
	addresses: readonly string[];
	/** How long the response may be cached, in milliseconds. */
	lifetimeMs: number;
}>;

/** Data of an SSE event `tokens`; its `id` is a cursor. */
export type TokensEvent = Readonly<{
	offset: number;
	tokens: readonly string[];
}>;

/** Data of the SSE event `done`, the last event of a complete response. */
export type DoneEvent = Readonly<{total: number}>;

/** Response of `POST /v1/calls`. */
export type CallResponse = Readonly<{
	requestId: string;
	/**
	 * Whether this is the stored response to an earlier request with the same id.
	 */
	replayed: boolean;
	status: number;
	body: unknown;
}>;
