import {initTRPC} from '@trpc/server';
import {configurationSchema, type Configuration} from '@lovagevalve/inventory';
import {z} from 'zod';
import {
	claimKeySchema,
	settleSchema,
	type ClaimResponse,
	type ClaimKey,
	type SettleRequest,
} from './claim-api.js';
import type {Redirect} from './redirect.js';

/** State that an entry reports to the control group. */
export const entryInfoSchema = z.strictObject({
	id: z.string().min(1).max(63),
	/** Base URL for callers and backend servers. */
	address: z.url(),
	dataCentre: z.string().min(1).max(63),
	state: z.enum(['serving', 'leaving']),
	/** Unique to each start of the process. */
	incarnation: z.string().min(1).max(64),
});

/** State of an entry as known to control instances and other entries. */
export type EntryInfo = z.output<typeof entryInfoSchema>;

const renewSchema = z.strictObject({
	entry: entryInfoSchema,
	/** Configuration version in force at the entry; 0 for none. */
	appliedVersion: z.number().int().min(0),
	/** Quarantine version known to the entry; 0 for none. */
	quarantineVersion: z.number().int().min(0),
	/** Backend servers that the entry sees; orders are derived from them. */
	backends: z
		.array(
			z.strictObject({
				id: z.string(),
				service: z.string(),
				address: z.string(),
				incarnation: z.number(),
				state: z.enum(['serving', 'leaving']),
				role: z.string().optional(),
				models: z.array(
					z.strictObject({
						id: z.string(),
						version: z.string(),
						adapters: z.array(z.string()),
					}),
				),
			}),
		)
		.max(20_000)
		.default([]),
});

/** Request to renew an entry's lease. */
export type RenewRequest = z.output<typeof renewSchema>;

/** Digests of requests that crash backend servers, or are suspected to. */
export type QuarantineView = Readonly<{
	version: number;
	/**
	 * Requests that must not share a backend server, in the same order at every
	 * entry.
	 */
	suspects: readonly string[];
	/** Suspect to isolate from all other requests first. */
	leading?: string;
	/** Backend servers that failed recently. */
	dead?: ReadonlyArray<Readonly<{backend: string; incarnation: number}>>;
	/**
	 * Suspects that must not be placed until the latest death has been evaluated.
	 */
	held: readonly string[];
	/** Requests to refuse immediately. */
	convicted: readonly string[];
}>;

/** Response to a lease renewal. */
export type RenewResponse =
	| {
			kind: 'granted';
			/**
			 * Lease duration, counted by the entry from when it sent the request.
			 */
			leaseMs: number;
			version: number;
			/** Present if the entry's version differs. */
			configuration?: Configuration;
			entries: readonly EntryInfo[];
			/** Present if the entry's quarantine version differs. */
			quarantine?: QuarantineView;
	  }
	| Redirect;

const applySchema = z.strictObject({
	/** Version that the change is based on; 0 for the first. */
	baseVersion: z.number().int().min(0),
	/** Idempotency key; the same for each retry of a change. */
	operationId: z.string().min(1).max(128),
	operator: z.string().min(1).max(63),
	key: z.string().max(256),
	configuration: configurationSchema,
});

/** Request by an operator to apply a configuration. */
export type ApplyRequest = z.output<typeof applySchema>;

/** Response to an operator's change. */
export type ApplyResponse =
	| {kind: 'accepted'; version: number; repeated: boolean}
	| {
			kind: 'conflict';
			/** Current version. */
			version: number;
			/** Operation that created the current version. */
			operationId: string;
			configuration: Configuration;
	  }
	| {kind: 'forbidden'}
	| Redirect;

/** Response to a linearizable read of the configuration. */
export type ConfigurationResponse =
	{kind: 'read'; version: number; configuration?: Configuration} | Redirect;

/** Response with the rollout progress of a configuration version. */
export type ProgressResponse =
	| {
			kind: 'progress';
			version: number;
			inForceEverywhere: boolean;
			entries: ReadonlyArray<{
				entry: EntryInfo;
				appliedVersion: number;
				/** Time until the entry's lease expires; 0 if it has expired. */
				leaseRemainingMs: number;
			}>;
	  }
	| Redirect;

const deathsSchema = z.strictObject({
	entry: z.string(),
	deaths: z
		.array(
			z.strictObject({
				backend: z.string(),
				incarnation: z.number(),
				dataCentre: z.string(),
				rack: z.string().optional(),
				/** Digests of the requests that this entry had placed on it. */
				digests: z.array(z.string()).max(10_000),
			}),
		)
		.max(1000),
	/** Suspects that completed, and so are no longer suspected. */
	completed: z.array(z.string()).max(10_000),
});

/** Deaths of backend servers and completed suspects reported by an entry. */
export type DeathsReport = z.output<typeof deathsSchema>;

/** Response to a report of deaths. */
export type DeathsResponse =
	{kind: 'taken'; quarantine: QuarantineView} | Redirect;

const joinSchema = z.strictObject({
	replica: z.string(),
	name: z.string(),
	address: z.url(),
});

/** Request of a control instance with a new identity to join the group. */
export type JoinRequest = z.output<typeof joinSchema>;

const initialiseSchema = z.strictObject({
	group: z.string().min(1).max(64),
	members: z.array(joinSchema).min(1).max(5),
});

/** Request to initialise a new group with its first membership. */
export type InitialiseRequest = z.output<typeof initialiseSchema>;

/** Local state of one control instance, not confirmed by a quorum. */
export type ControlStatus = Readonly<{
	replica: string;
	name: string;
	group?: string;
	role: 'unassigned' | 'learner' | 'follower' | 'candidate' | 'leader';
	term: number;
	leader?: string;
	commitIndex: number;
	lastIndex: number;
	snapshotIndex: number;
	configurationVersion: number;
	members: ReadonlyArray<{
		replica: string;
		name: string;
		address: string;
		voter: boolean;
	}>;
	/** Announced backend servers that the inventory does not list. */
	unknownBackends: readonly string[];
	/** Orders issued to backend servers. */
	orders: ReadonlyArray<{
		order: string;
		backend: string;
		state: 'pending' | 'sent' | 'done' | 'refused';
		detail: string;
	}>;
}>;

/** RPC handlers of a control instance; failures are returned as values. */
export type ControlHandlers = Readonly<{
	/** Delivers Raft messages; the response acknowledges receipt only. */
	deliver: (input: {
		from: string;
		messages: readonly unknown[];
	}) => Promise<{kind: 'taken'}>;
	join: (
		input: JoinRequest,
	) => Promise<{kind: 'taken'} | {kind: 'refused'; reason: string} | Redirect>;
	initialise: (
		input: InitialiseRequest,
	) => Promise<{kind: 'initialised'} | {kind: 'refused'; reason: string}>;
	status: () => Promise<ControlStatus>;
	renewLease: (input: RenewRequest) => Promise<RenewResponse>;
	apply: (input: ApplyRequest) => Promise<ApplyResponse>;
	readConfiguration: () => Promise<ConfigurationResponse>;
	progress: () => Promise<ProgressResponse>;
	openClaim: (input: ClaimKey) => Promise<ClaimResponse>;
	/** Settles a request as not run unless a claim on it exists. */
	refuseClaim: (input: ClaimKey) => Promise<ClaimResponse>;
	settleClaim: (input: SettleRequest) => Promise<ClaimResponse>;
	reportDeaths: (input: DeathsReport) => Promise<DeathsResponse>;
}>;

const t = initTRPC.create();

/** Router of a control instance. */
export function createControlRouter(handlers: ControlHandlers) {
	return t.router({
		deliver: t.procedure
			.input(
				z.strictObject({
					from: z.string(),
					messages: z.array(z.unknown()).max(4096),
				}),
			)
			.mutation(async ({input}) => handlers.deliver(input)),
		join: t.procedure
			.input(joinSchema)
			.mutation(async ({input}) => handlers.join(input)),
		initialise: t.procedure
			.input(initialiseSchema)
			.mutation(async ({input}) => handlers.initialise(input)),
		status: t.procedure.query(async () => handlers.status()),
		renewLease: t.procedure
			.input(renewSchema)
			.mutation(async ({input}) => handlers.renewLease(input)),
		// The procedure name "apply" is reserved by tRPC.
		applyConfiguration: t.procedure
			.input(applySchema)
			.mutation(async ({input}) => handlers.apply(input)),
		readConfiguration: t.procedure.query(async () =>
			handlers.readConfiguration(),
		),
		progress: t.procedure.query(async () => handlers.progress()),
		openClaim: t.procedure
			.input(claimKeySchema)
			.mutation(async ({input}) => handlers.openClaim(input)),
		refuseClaim: t.procedure
			.input(claimKeySchema)
			.mutation(async ({input}) => handlers.refuseClaim(input)),
		settleClaim: t.procedure
			.input(settleSchema)
			.mutation(async ({input}) => handlers.settleClaim(input)),
		reportDeaths: t.procedure
			.input(deathsSchema)
			.mutation(async ({input}) => handlers.reportDeaths(input)),
	});
}

/** Type of a control instance's router. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
