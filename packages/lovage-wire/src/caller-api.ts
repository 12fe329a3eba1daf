import {z} from 'zod';

const requestId = z.string().regex(/^[\w.:-]{1,128}$/);

/** Body of `POST /v1/generations`. The customer is known by its key. */
export const generationRequestSchema = z.strictObject({
	requestId,
	service: z.string().min(1).max(63),
	model: z.string().min(1).max(63).optional(),
	prompt: z.string().min(1),
	maxTokens: z.number().int().min(1),
	/** Time until which the whole answer is of use, from now. */
	deadlineMs: z.number().int().min(1).max(604_800_000).optional(),
	/** Tokens that the caller already has; goes with `Last-Event-ID`. */
	delivered: z.array(z.string()).max(1_000_000).optional(),
});

/** Body of `POST /v1/calls`. */
export const callRequestSchema = z.strictObject({
	requestId,
	/** Counts up when the caller sends again after "not run"; starts at 1. */
	attempt: z.number().int().min(1).max(1000).default(1),
	service: z.string().min(1).max(63),
	operation: z.string().min(1).max(64),
	body: z.json(),
	deadlineMs: z.number().int().min(1).max(604_800_000).optional(),
});

/** A checked request to generate. */
export type GenerationRequest = z.output<typeof generationRequestSchema>;
/** A checked call of a plain service. */
export type CallRequest = z.output<typeof callRequestSchema>;

/** Answer of `GET /v1/addresses`. */
export type AddressesResponse = Readonly<{
	/** Base URLs in the order in which to try them. */
	addresses: readonly string[];
	/** How long the answer may be kept, in milliseconds. */
	lifetimeMs: number;
}>;

/** Data of an SSE event `tokens`; its `id` is a cursor. */
export type TokensEvent = Readonly<{
	offset: number;
	tokens: readonly string[];
}>;

/** Data of the SSE event `done`, the last of a whole answer. */
export type DoneEvent = Readonly<{total: number}>;

/** Answer of `POST /v1/calls`. */
export type CallResponse = Readonly<{
	requestId: string;
	/** Whether this is the stored answer of an earlier send of the same id. */
	replayed: boolean;
	status: number;
	body: unknown;
}>;
