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

/** State of an entry as it tells the control group. */
export const entryInfoSchema = z.strictObject({
	id: z.string().min(1).max(63),
	/** Base URL for callers and backend servers. */
	address: z.url(),
	dataCentre: z.string().min(1).max(63),
	state: z.enum(['serving', 'leaving']),
	/** Differs at each start of the process. */
	incarnation: z.string().min(1).max(64),
});

/** An entry as others see it. */
export type EntryInfo = z.output<typeof entryInfoSchema>;

const renewSchema = z.strictObject({
	entry: entryInfoSchema,
	/** Version in force at the entry; 0 for none. */
	appliedVersion: z.number().int().min(0),
	/** Version of the quarantine that the entry knows; 0 for none. */
	quarantineVersion: z.number().int().min(0),
	/** Backend servers in the entry's view, for orders. */
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

/** What an entry sends to renew its lease. */
export type RenewRequest = z.output<typeof renewSchema>;

/** Request digests that crash backend servers, or may. */
export type QuarantineView = Readonly<{
	version: number;
	/** To be kept apart from each other, in an order that entries share. */
	suspects: readonly string[];
	/** Suspect to be kept apart from all others first. */
	leading?: string;
	/** Backend servers that died lately. */
	dead?: ReadonlyArray<Readonly<{backend: string; incarnation: number}>>;
	/** Suspects not to be placed until the last death is judged. */
	held: readonly string[];
	/** Refused at once. */
	convicted: readonly string[];
}>;

/** Outcome of a lease renewal. */
export type RenewResponse =
	| {
			kind: 'granted';
			/** Counted by the entry from when it sent the request. */
			leaseMs: number;
			version: number;
			/** Present when the entry's version differs. */
			configuration?: Configuration;
			entries: readonly EntryInfo[];
			/** Present when the entry's quarantine version differs. */
			quarantine?: QuarantineView;
	  }
	| Redirect;

const applySchema = z.strictObject({
	/** Version that the change builds on; 0 for the first. */
	baseVersion: z.number().int().min(0),
	/** Same for each resend of one change. */
	operationId: z.string().min(1).max(128),
	operator: z.string().min(1).max(63),
	key: z.string().max(256),
	configuration: configurationSchema,
});

/** An operator's change. */
export type ApplyRequest = z.output<typeof applySchema>;

/** Outcome of an operator's change. */
export type ApplyResponse =
	| {kind: 'accepted'; version: number; repeated: boolean}
	| {
			kind: 'conflict';
			/** Version now in force. */
			version: number;
			/** Operation that made it. */
			operationId: string;
			configuration: Configuration;
	  }
	| {kind: 'forbidden'}
	| Redirect;

/** The configuration, read with the quorum's confirmation. */
export type ConfigurationResponse =
	{kind: 'read'; version: number; configuration?: Configuration} | Redirect;

/** How far a version is in force. */
export type ProgressResponse =
	| {
			kind: 'progress';
			version: number;
			inForceEverywhere: boolean;
			entries: ReadonlyArray<{
				entry: EntryInfo;
				appliedVersion: number;
				/** Time until its lease has run out; 0 if it has. */
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
				/** Digests of the requests that this entry had on it. */
				digests: z.array(z.string()).max(10_000),
			}),
		)
		.max(1000),
	/** Suspects that ran to their end: cleared. */
	completed: z.array(z.string()).max(10_000),
});

/** Deaths of backend servers that an entry saw. */
export type DeathsReport = z.output<typeof deathsSchema>;

/** Outcome of a report of deaths. */
export type DeathsResponse =
	{kind: 'taken'; quarantine: QuarantineView} | Redirect;

const joinSchema = z.strictObject({
	replica: z.string(),
	name: z.string(),
	address: z.url(),
});

/** A control instance with a new identity that asks to join. */
export type JoinRequest = z.output<typeof joinSchema>;

const initialiseSchema = z.strictObject({
	group: z.string().min(1).max(64),
	members: z.array(joinSchema).min(1).max(5),
});

/** First membership of a new group. */
export type InitialiseRequest = z.output<typeof initialiseSchema>;

/** State of one control instance, unconfirmed. */
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
	/** Backend servers that the inventory does not know, and orders under way. */
	unknownBackends: readonly string[];
	orders: ReadonlyArray<{
		order: string;
		backend: string;
		state: 'pending' | 'sent' | 'done' | 'refused';
		detail: string;
	}>;
}>;

/** What a control instance does for the others; every outcome is a value. */
export type ControlHandlers = Readonly<{
	/** Raft messages; the answer says only that they arrived. */
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
	/** Settles that a request was not run, unless a claim says otherwise. */
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
		// "apply" itself is a reserved word of tRPC.
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

/** Type of the control instance's router. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
