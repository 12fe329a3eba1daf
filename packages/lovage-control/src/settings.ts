import {DEFAULT_CLAIM_LIMITS} from '@lovagevalve/claims';
import {defaultSettings, type RaftSettings} from '@lovagevalve/consensus';
import type {ControlSettings} from '@lovagevalve/control-role';
import {metricsSettingsSchema} from '@lovagevalve/runtime';
import {z} from 'zod';

const durationMs = z.number().int().min(10).max(3_600_000);

/** Largest relative difference in the rate of two monotonic clocks. */
const MAX_CLOCK_DRIFT_SHARE = 0.01;
const ORDER_DELIVERY_TIMEOUT_MS = 1000;
const MODEL_LOAD_TIMEOUT_MS = 600_000;
const ORDER_RETRY_DELAY_MS = 10_000;
const SNAPSHOT_INTERVAL_ENTRIES = 1000;
const MAX_PENDING_REQUESTS = 4096;

const timingsSchema = z
	.strictObject({
		/** Lifetime of an entry's lease, counted from its request for the lease. */
		leaseMs: durationMs.default(3000),
		electionTimeoutMs: durationMs.default(defaultSettings.electionTimeoutMs),
		heartbeatIntervalMs: durationMs.default(
			defaultSettings.heartbeatIntervalMs,
		),
		/** An unsettled claim changes to `unknown` after this. */
		claimHoldMs: durationMs.default(15_000),
		/** The leader may send orders this long after a read confirmed by a quorum. */
		orderLeaseMs: durationMs.default(2000),
	})
	.refine(
		({heartbeatIntervalMs, electionTimeoutMs}) =>
			heartbeatIntervalMs * 2 <= electionTimeoutMs,
		{
			path: ['electionTimeoutMs'],
			error: 'must be at least twice heartbeatIntervalMs',
		},
	)
	.refine(
		({claimHoldMs}) => claimHoldMs > 2 * DEFAULT_CLAIM_LIMITS.dispatchWithinMs,
		{
			path: ['claimHoldMs'],
			error: `must be above ${2 * DEFAULT_CLAIM_LIMITS.dispatchWithinMs}`,
		},
	);

/** Schema of the settings file of `lovage-control`; durations are in milliseconds. */
export const controlSettingsSchema = z.strictObject({
	/** Stays the same when the instance loses its disk and gets a new replica ID. */
	name: z.string().min(1).max(63),
	listen: z.strictObject({
		host: z.string().default('127.0.0.1'),
		port: z.number().int().min(0).max(65_535),
	}),
	/** Base URL under which entries, operators and other control instances reach this one. */
	address: z.url(),
	dataFolder: z.string().min(1),
	/** Base URLs of the group's instances; may include this one. */
	controls: z.array(z.url()).max(9).default([]),
	/** Hash of the operator key that may apply the first configuration. */
	bootstrapOperatorKeyHash: z
		.string()
		.regex(
			/^sha256:[\da-f]{64}$/,
			'must be "sha256:" and 64 hexadecimal digits, see "lovagectl hash-key"',
		),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
	metrics: metricsSettingsSchema.prefault({}),
	timings: timingsSchema.prefault({}),
});

/** Validated settings of `lovage-control`. */
export type ControlProgramSettings = z.output<typeof controlSettingsSchema>;

/** Removes the trailing slash of a base URL. */
export function removeTrailingSlash(address: string): string {
	return address.replace(/\/$/, '');
}

/** Creates the settings of the replicated log. */
export function createRaftSettings({
	timings,
}: ControlProgramSettings): RaftSettings {
	const {electionTimeoutMs, heartbeatIntervalMs} = timings;
	return {...defaultSettings, electionTimeoutMs, heartbeatIntervalMs};
}

/** Creates the settings of the control state machine. */
export function createRoleSettings(
	cfg: ControlProgramSettings,
): ControlSettings {
	const {leaseMs, orderLeaseMs, claimHoldMs} = cfg.timings;
	return {
		lease: {leaseMs, driftShare: MAX_CLOCK_DRIFT_SHARE},
		orders: {
			holderLeaseMs: orderLeaseMs,
			deliveryTimeoutMs: ORDER_DELIVERY_TIMEOUT_MS,
			loadTimeoutMs: MODEL_LOAD_TIMEOUT_MS,
			retryAfterMs: ORDER_RETRY_DELAY_MS,
			driftShare: MAX_CLOCK_DRIFT_SHARE,
		},
		claimHoldMs,
		snapshotEveryEntries: SNAPSHOT_INTERVAL_ENTRIES,
		maxPendingRequests: MAX_PENDING_REQUESTS,
		bootstrapKeyHash: cfg.bootstrapOperatorKeyHash,
	};
}
