import {z} from 'zod';

const identifier = z
	.string()
	.regex(
		/^[a-z\d][a-z\d.-]{0,62}$/,
		'must be 1 to 63 lower-case letters, digits, dots or hyphens',
	);

const keyHash = z
	.string()
	.regex(
		/^sha256:[\da-f]{64}$/,
		'must be "sha256:" and 64 hexadecimal digits, see "lovagectl hash-key"',
	);

const dataCentreSchema = z.strictObject({
	id: identifier,
	region: identifier,
});

const modelSchema = z.strictObject({
	id: identifier,
	version: z.string().min(1).max(64),
	adapters: z.array(identifier).max(64).default([]),
});

const workerSchema = z.strictObject({
	id: identifier,
	dataCentre: identifier,
	rack: identifier.optional(),
	/** Whether this backend server rejects orders with an outdated fencing number. */
	checksFencing: z.boolean(),
});

const serviceSchema = z.strictObject({
	id: identifier,
	kind: z.enum(['engine', 'plain']),
	models: z.array(modelSchema).max(64).default([]),
	workers: z.array(workerSchema).max(20_000),
});

const customerSchema = z.strictObject({
	id: identifier,
	keyHash,
	/** Relative share of the capacity while requests of several customers are queued. */
	share: z.number().int().min(1).max(1000).default(1),
});

const operatorSchema = z.strictObject({id: identifier, keyHash});

/** Inventory of a deployment: data centres, services, workers, customers, operators. */
export const inventorySchema = z.strictObject({
	name: identifier,
	dataCentres: z.array(dataCentreSchema).min(1).max(256),
	services: z.array(serviceSchema).min(1).max(1024),
	customers: z.array(customerSchema).min(1).max(20_000),
	operators: z.array(operatorSchema).min(1).max(256),
	weightStore: z
		.strictObject({
			url: z.url(),
			/** Maximum number of concurrent model loads. */
			parallelLoads: z.number().int().min(1).max(1000),
		})
		.optional(),
});

/** Service-level objective of one service. */
export const objectiveSchema = z.strictObject({
	service: identifier,
	weighs: z.enum(['resume-latency', 'resource-use']),
	/** Share of requests that must meet the objective, such as 0.99. */
	target: z.number().gt(0).lt(1).default(0.99),
	/** Longest acceptable time for a stream to resume. */
	resumeWithinMs: z.number().int().min(100).max(600_000).default(4000),
	/** Longest acceptable time to the first token. */
	firstTokenWithinMs: z.number().int().min(10).max(3_600_000).default(2000),
	/** Acceptable extra resource use, as a share of the regular work. */
	extraUseShare: z.number().min(0).max(1).default(0.05),
});

const nonIdempotentSchema = z.strictObject({
	service: identifier,
	/** Operation of the service, or `*` for all operations. */
	operation: z.string().min(1).max(64),
});

const prioritySchema = z.strictObject({
	customer: identifier.optional(),
	service: identifier.optional(),
	/** Requests with a higher value are served first. */
	priority: z.number().int().min(0).max(9),
});

/** Rules that apply to the services and customers of the inventory. */
export const rulesSchema = z.strictObject({
	nonIdempotent: z.array(nonIdempotentSchema).max(4096).default([]),
	priorities: z.array(prioritySchema).max(4096).default([]),
	objectives: z.array(objectiveSchema).max(1024).default([]),
	limits: z
		.strictObject({
			/** Maximum number of queued requests per service at one entry. */
			queueLength: z.number().int().min(1).max(100_000).default(256),
			/** Retry budget, as a share of the first attempts. */
			retryShare: z.number().min(0).max(1).default(0.1),
			maxPromptBytes: z
				.number()
				.int()
				.min(1)
				.max(16_777_216)
				.default(1_048_576),
			maxTokens: z.number().int().min(1).max(1_000_000).default(32_768),
		})
		.prefault({}),
	/** How long the final state of a claim is retained. */
	claimRetentionMs: z
		.number()
		.int()
		.min(1000)
		.max(31_536_000_000)
		.default(604_800_000),
});

/** Content of one configuration version: an inventory and its rules. */
export const configurationSchema = z.strictObject({
	inventory: inventorySchema,
	rules: rulesSchema,
});

/** A validated inventory. */
export type Inventory = z.output<typeof inventorySchema>;
/** Validated rules. */
export type Rules = z.output<typeof rulesSchema>;
/** A validated inventory with its rules. */
export type Configuration = z.output<typeof configurationSchema>;
/** A service of the inventory. */
export type Service = Inventory['services'][number];
/** A worker listed in the inventory. */
export type Worker = Service['workers'][number];
/** A customer of the inventory. */
export type Customer = Inventory['customers'][number];
/** The service-level objective of one service. */
export type Objective = Rules['objectives'][number];
/** An operator of the deployment. */
export type Operator = Inventory['operators'][number];
