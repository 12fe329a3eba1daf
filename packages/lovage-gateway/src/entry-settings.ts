import type {RetryBudgetPolicy} from '@lovagevalve/dispatch';

/** Settings of an entry instance. */
export type EntrySettings = Readonly<{
	name: string;
	/** Address that callers connect to. */
	address: string;
	dataCentre: string;
	/** In cores; absent if it is not known. */
	capacity?: number;
	/**
	 * Returns the current addresses of control instances for traffic between
	 * instances.
	 */
	readSeeds: () => readonly string[];
	registrationIntervalMs: number;
	retryBudget: RetryBudgetPolicy;
	/** Whether streams wait here until a model engine has room; absent for no. */
	admission?: boolean;
	/** Whether learned speeds of backend servers decide about placement; absent for no. */
	learnedSpeeds?: boolean;
	/**
	 * Time between the stop signal and the forced end of the process, in
	 * milliseconds.
	 */
	gracePeriodMs: number;
	/**
	 * Longest time for which callers use an address that is no longer advertised,
	 * in milliseconds.
	 */
	addressLifetimeMs: number;
	/** Present where roll-outs are in force. */
	rollout?: Readonly<{contactMs: number}>;
	/**
	 * Host through which this instance connects to backend servers, on networks with
	 * address translation; absent to use their registered ones.
	 */
	backendHost?: string;
}>;
