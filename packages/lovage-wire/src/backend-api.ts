import {z} from 'zod';

/** Whether a URL names a server and nothing else; the HTTP client refuses other ones. */
function isOrigin(value: string): boolean {
	return (
		URL.canParse(value) && new URL(value).href === `${new URL(value).origin}/`
	);
}

/** Base URL of a server. */
export const serverAddressSchema = z
	.url({protocol: /^https?$/})
	.refine(isOrigin, {error: 'must have no path, query or user'});

/** Load reported by a backend server; may be out of date. */
export const loadSchema = z.strictObject({
	running: z.number().int().min(0),
	waiting: z.number().int().min(0),
	/** Current decode time per token of one stream. */
	msPerToken: z.number().min(0).optional(),
});

/** A change in the prefix cache; events may arrive late or be lost. */
export const cacheEventSchema = z.strictObject({
	sequence: z.number().int().min(0),
	kind: z.enum(['stored', 'evicted']),
	/** Digest of the leading part of the prompt, see docs/protocols.md. */
	prefix: z.string().max(128),
});

/** Body of `POST /v1/backend-servers`, sent by a backend server to any entry. */
export const announcementSchema = z.strictObject({
	id: z.string().min(1).max(63),
	service: z.string().min(1).max(63),
	dataCentre: z.string().min(1).max(63),
	rack: z.string().max(63).optional(),
	/** Base URL of the backend server. */
	address: serverAddressSchema,
	/** Increases with each start of the backend server. */
	incarnation: z.number().int().min(0),
	/** Increases with each announcement of an incarnation. */
	sequence: z.number().int().min(0),
	state: z.enum(['serving', 'leaving']),
	/** Maximum number of concurrent generations or calls. */
	capacity: z.number().int().min(1).max(100_000),
	role: z.string().max(32).optional(),
	models: z
		.array(
			z.strictObject({
				id: z.string().max(63),
				version: z.string().max(64),
				adapters: z.array(z.string().max(63)).max(64).default([]),
			}),
		)
		.max(64)
		.default([]),
	load: loadSchema,
	cacheEvents: z.array(cacheEventSchema).max(1024).default([]),
});

/** A validated announcement. */
export type Announcement = z.output<typeof announcementSchema>;

/** Response to an announcement. */
export type AnnouncementResponse = Readonly<{
	/** Interval until the next announcement. */
	everyMs: number;
	/** Entries that can be announced to instead. */
	entries: readonly string[];
	/** False if the inventory does not list this backend server. */
	known: boolean;
}>;

/** Body of `POST /v1/generations` at an engine. */
export const engineStartSchema = z.strictObject({
	generation: z.string().min(1).max(128),
	attempt: z.number().int().min(1),
	model: z.string().max(63).optional(),
	prompt: z.string(),
	/** Tokens already delivered; the engine continues after them. */
	prefix: z.array(z.string()).default([]),
	/** Maximum number of tokens in total, including the prefix. */
	maxTokens: z.number().int().min(1),
	priority: z.number().int().min(0).max(9).default(0),
});

/** A validated request to start a generation. */
export type EngineStart = z.output<typeof engineStartSchema>;

/** SSE event `tokens` of an engine. */
export const engineTokensSchema = z.object({
	generation: z.string(),
	attempt: z.number().int(),
	offset: z.number().int().min(0),
	tokens: z.array(z.string()),
});

/** SSE event `done` of an engine. */
export const engineDoneSchema = z.object({
	generation: z.string(),
	attempt: z.number().int(),
	total: z.number().int().min(0),
});

/** Response of `GET /v1/generations/:generation` at an engine. */
export const engineStatusSchema = z.object({
	generation: z.string(),
	attempt: z.number().int(),
	length: z.number().int().min(0),
	state: z.enum(['running', 'done']),
});

/** Body of `POST /v1/orders` at a backend server. */
export const orderSchema = z.strictObject({
	order: z.string().min(1).max(128),
	/**
	 * Fencing token; backend servers that check it refuse one lower than the
	 * highest seen.
	 */
	fencing: z.number().int().min(0),
	action: z.discriminatedUnion('kind', [
		z.strictObject({
			kind: z.literal('load-model'),
			model: z.string(),
			version: z.string(),
			adapters: z.array(z.string()).default([]),
		}),
		z.strictObject({
			kind: z.literal('unload-model'),
			model: z.string(),
			version: z.string(),
		}),
		z.strictObject({kind: z.literal('set-role'), role: z.string()}),
	]),
});

/** A validated order. */
export type Order = z.output<typeof orderSchema>;

/** Body of `POST /v1/calls` at a backend server of a plain service. */
export const backendCallSchema = z.strictObject({
	requestId: z.string(),
	customer: z.string(),
	operation: z.string(),
	body: z.json(),
});

/** A validated call as sent to a backend server. */
export type BackendCall = z.output<typeof backendCallSchema>;
