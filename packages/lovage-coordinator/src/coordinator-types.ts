import type {Server} from 'node:http';
import type {BackendRecord} from '@lovagevalve/dispatch';
import type {
	BufferBudget,
	Clock,
	Logger,
	PrometheusMetrics,
} from '@lovagevalve/runtime';
import type {ReadOutcome} from './decode-messages.js';
import type {KnownEntry} from './entry-registry.js';
import type {RegisterOutcome} from './registration.js';
import type {RolloutSettings} from './replicated-rollouts.js';
import type {Rollouts} from './rollouts.js';
import type {StoredConfiguration} from './state-machine.js';

/** Settings of a control instance. */
export type CoordinatorSettings = Readonly<{
	name: string;
	/** Address for traffic between instances. */
	address: string;
	dataFolder: string;
	/**
	 * Whether this is the first start of the whole system, in which the seeds
	 * bootstrap the group.
	 */
	isFirstStart: boolean;
	/** Interval at which a backend server renews its registration, in milliseconds. */
	registrationIntervalMs: number;
	/** Number of control instances whose disks may be lost at once; 1 by default. */
	tolerated?: number;
	/** Settings of roll-outs; absent where they are not in force. */
	rollout?: RolloutSettings;
	/**
	 * Returns the current addresses of control instances for traffic between
	 * instances.
	 */
	readSeeds: () => readonly string[];
}>;

/** Dependencies of a control instance. */
export type CoordinatorDependencies = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PrometheusMetrics;
	/** Bytes that the process buffers over all its connections. */
	buffers: BufferBudget;
	random: () => number;
}>;

/** A running control instance. */
export type Coordinator = Readonly<{
	/** Server for traffic between instances; the owner calls `listen`. */
	server: Server;
	/**
	 * Resolves with true once this version or a higher one is committed, with
	 * false if that could not be confirmed.
	 */
	putConfiguration: (configuration: StoredConfiguration) => Promise<boolean>;
	readConfiguration: () => Promise<ReadOutcome>;
	/**
	 * Merges a registration if there is room; resolves with whether it may be
	 * acknowledged, for a departure once enough instances have stored it.
	 */
	register: (record: BackendRecord) => Promise<RegisterOutcome>;
	find: (id: string) => BackendRecord | undefined;
	/** Roll-outs, where they are in force. */
	rollouts: Pick<Rollouts, 'order' | 'read'> | undefined;
	/** Entries that callers may connect to. */
	listServing: () => readonly KnownEntry[];
	stop: () => Promise<void>;
}>;
