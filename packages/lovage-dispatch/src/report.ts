import type {RolloutDecisions, RolloutReport} from '@lovagevalve/rollout';
import type {ServingMachine} from './address-selection.js';
import type {BackendRecord} from './backend-table.js';
import type {FloodReports} from './flood-telling.js';
import type {BackendLoad} from './load.js';
import type {RetryCounts} from './retry-budget.js';
import type {CompactSpeeds} from './speed-reports.js';

/** A backend server that crashed while it processed a request. */
export type Crash = Readonly<{
	/** Digest of the request's path, customer and body. */
	digest: string;
	/** Identifies the backend server and its incarnation. */
	backend: string;
}>;

/** A crash with what is needed to find its cause. */
export type CrashReport = Crash &
	Readonly<{
		dataCentre: string;
		/** Time since the crash, in milliseconds. */
		ageMs: number;
		/** Time since the run that ended with it was sent, in milliseconds; older builds leave it out. */
		sentAgeMs?: number;
		/** Parts of the request's prompt that other requests may share. */
		parts: readonly string[];
	}>;

/** Whether callers may be directed to an entry. */
export type EntryStatus = 'starting' | 'ready' | 'leaving';

/** A record with the time since the last contact instead of a timestamp, because clocks of instances differ. */
export type AgedRecord = Omit<BackendRecord, 'heardAt'> &
	Readonly<{ageMs: number}>;

/** Revision of a control instance's backend table that an entry has received. */
export type KnownRevision = Readonly<{
	/** Start of the control instance; its revisions restart with it. */
	epoch: number;
	revision: number;
}>;

/** Load by backend server id: running requests, prompt tokens being processed, tokens in the KV cache. */
export type CompactLoads = Readonly<
	Record<string, readonly [number, number, number]>
>;

/** The limit of a backend server and the requests that it got, as instances exchange them. */
export type LimitReport = Readonly<{
	/** Requests a second from all instances together; absent if the limit is over. */
	perSecond?: number;
	/** Time since the statement, in milliseconds. */
	ageMs: number;
	/** Requests sent within the window of limits: by the entry that reports, or by all others. */
	sent: number;
}>;

/** Limits by incarnation of the backend server, as `id/bornAt`. */
export type LimitReports = Readonly<Record<string, LimitReport>>;

/**
 * Origin of a stream as entries report it: key of the stream, service, software
 * version, and milliseconds for which its caller may resume it. Reports of the
 * entry that delivered the first event also name the incarnation of the backend
 * server, as `id/bornAt`, and the milliseconds since; older entries don't.
 */
export type OriginReport = readonly [
	key: string,
	service: string,
	softwareVersion: string,
	keepMs: number,
	incarnation?: string,
	ageMs?: number,
];

/** Report that an entry sends to each control instance several times a second. */
export type EntryReport = Readonly<{
	entry: string;
	/** Address for callers. */
	address: string;
	dataCentre: string;
	/** In cores; entries of unknown capacity and older ones don't send it. */
	capacity?: number;
	standing: EntryStatus;
	/** Version of the configuration in force; 0 for none. */
	version: number;
	loads: CompactLoads;
	/** Requests and retries within the retry budget's window, by service. */
	retries: Readonly<Record<string, RetryCounts>>;
	crashes: readonly Crash[];
	/** The same crashes with more details; older entries don't send it. */
	crashReports?: readonly CrashReport[];
	/**
	 * Milliseconds since a run got past its start, for those of the suspects that
	 * had one recently at this entry.
	 */
	soundMs?: Readonly<Record<string, number>>;
	/** Incarnations of backend servers that said they are leaving, as `id/bornAt`. */
	leaving?: readonly string[];
	/** Limits of backend servers that this entry knows; older entries don't send it. */
	limits?: LimitReports;
	/**
	 * Brittle backend servers and the rejections by them; `perSecond` are rejections
	 * that they allow. Older entries don't send it.
	 */
	brittle?: LimitReports;
	/** Flooding backend servers that this entry met itself; older entries don't send it. */
	floods?: FloodReports;
	/** Prompt tokens that wait for engines, as `service/priority`; absent if none do. */
	waiting?: Readonly<Record<string, number>>;
	/** Counts for running orders; absent where roll-outs are not in force. */
	rollouts?: RolloutReport;
	/** Whether the entry reaches no backend server; older entries don't send it. */
	isCutOff?: boolean;
	/** Origins of streams that this control instance has not confirmed yet. */
	origins?: readonly OriginReport[];
	/**
	 * What this entry measured of backend servers lately, and a request for what the
	 * others did; about once a second, to the primary control instance. Older entries
	 * don't send it.
	 */
	speeds?: CompactSpeeds;
	/** Absent to request all backend servers. */
	known?: KnownRevision;
	/** Requests the overview. It is the same on every control instance, so an entry asks only one at a time. */
	wantsOverview: boolean;
	/** Requests the time since the last contact with each backend server. */
	wantsAges: boolean;
	/** Ages up to this one may be left out of the answer, in milliseconds; absent to request all. */
	agesAboveMs?: number;
	/** Revision of the advertised entries that this entry has received. */
	knownServing?: KnownRevision;
}>;

/** Part of an entry's report that requests the ages of registrations. */
export type AgesRequest = Pick<EntryReport, 'wantsAges' | 'agesAboveMs'>;

/** Part of an entry's report that is the same for every control instance. */
export type SharedEntryReport = Omit<
	EntryReport,
	| 'known'
	| 'knownServing'
	| 'origins'
	| 'speeds'
	| 'wantsOverview'
	| 'wantsAges'
	| 'agesAboveMs'
>;

/** Cluster state that is the same on every control instance. */
export type ClusterOverview = Readonly<{
	/** Caller addresses of the entries that accept requests; absent if they are as the entry knows them. */
	serving?: readonly string[];
	/** Machines of the entries in `serving`, in its order; sent with it if callers get different entries. */
	servingMachines?: readonly ServingMachine[];
	/** Older control instances don't send it. */
	servingRevision?: KnownRevision;
	/** Load from the other entries. */
	loads: CompactLoads;
	/** Requests and retries of the other entries, by service. */
	retries: Readonly<Record<string, RetryCounts>>;
	/** Limits of backend servers; older control instances don't send it. */
	limits?: LimitReports;
	/** Brittle backend servers; older control instances don't send it. */
	brittle?: LimitReports;
	/** Flooding backend servers that other entries met; older control instances don't send it. */
	floods?: FloodReports;
	/** Prompt tokens that wait for engines at the other entries, as `service/priority`. */
	waiting?: Readonly<Record<string, number>>;
	/** What the other entries measured of backend servers, where it changed, if the report has its own; older control instances don't send it. */
	speeds?: CompactSpeeds;
	/** Entries at which work waits, by their position in the sorted addresses of those that serve; see `encodeRanks`. */
	waitingRanks?: string;
	/** Addresses of entries that take over requests, for one that is cut off. */
	relays?: readonly string[];
}>;

/** Answer of a control instance to an entry's report. */
export type ControlReport = Readonly<{
	/** Version of the newest committed configuration known here; 0 for none. */
	version: number;
	/** Addresses of the control instances for traffic between instances. */
	controls: readonly string[];
	/** Number of entries that reported recently. */
	entries: number;
	known: KnownRevision;
	/** Backend servers that have changed since the known revision. */
	backends: readonly AgedRecord[];
	/** More backend servers have changed than one answer holds; the next one continues after `known`. */
	hasMore?: boolean;
	/** Milliseconds since the last contact with each backend server in service, by id. */
	agesMs?: Readonly<Record<string, number>>;
	/** The ages of backend servers in service up to this one are left out; older control instances send all. */
	agesAboveMs?: number;
	/** Number of backend servers in service; older control instances don't send it. */
	readyCount?: number;
	overview?: ClusterOverview;
	/** Decisions on roll-outs, if the entry knows older ones. */
	rollouts?: RolloutDecisions;
	/** It judges running orders, and wants each report. */
	judgesRollouts?: boolean;
	/** Digests of requests and keys of prompt parts that are quarantined. */
	convicted: readonly string[];
	/** Digests and keys that may have caused crashes; older control instances don't send it. */
	suspects?: readonly string[];
}>;

/** Encodes loads for a report. */
export function toCompactLoads(
	loads: Readonly<Record<string, BackendLoad>>,
): CompactLoads {
	return Object.fromEntries(
		Object.entries(loads).map(([id, load]) => [
			id,
			[load.running, load.prefillTokens, load.memoryTokens],
		]),
	);
}

/** Decodes loads from a report. */
export function fromCompactLoads(
	loads: CompactLoads,
): Readonly<Record<string, BackendLoad>> {
	return Object.fromEntries(
		Object.entries(loads).map(
			([id, [running, prefillTokens, memoryTokens]]) => [
				id,
				{running, prefillTokens, memoryTokens},
			],
		),
	);
}

/** Encodes a record for another instance. */
export function toAgedRecord(record: BackendRecord, now: number): AgedRecord {
	const {heardAt, ...rest} = record;
	return {...rest, ageMs: now - heardAt};
}

/** Decodes a record from another instance; its timestamp is in this instance's clock. */
export function fromAgedRecord(record: AgedRecord, now: number): BackendRecord {
	const {ageMs, ...rest} = record;
	return {...rest, heardAt: now - ageMs};
}
