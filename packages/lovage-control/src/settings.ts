import {DEFAULT_CLAIM_LIMITS} from '@lovagevalve/claims';
import {defaultSettings, type RaftSettings} from '@lovagevalve/consensus';
import type {ControlSettings} from '@lovagevalve/control-role';
import {metricsSettingsSchema} from '@lovagevalve/runtime';
import {z} from 'zod';

const durationMs = z.number().int().min(10).max(3_600_000);

/** Share by which monotonic clocks may drift apart. */
const MAX_CLOCK_DRIFT_SHARE = 0.01;
const ORDER_DELIVERY_TIMEOUT_MS = 1000;
const MODEL_LOAD_TIMEOUT_MS = 600_000;
const ORDER_RETRY_DELAY_MS = 10_000;
const SNAPSHOT_INTERVAL_ENTRIES = 1000;
const MAX_PENDING_REQUESTS = 4096;

const timingsSchema = z
	.strictObject({
		/** How long an entry may work after it asked for its lease. */
		leaseMs: durationMs.default(3000),
		electionTimeoutMs: durationMs.default(defaultSettings.electionTimeoutMs),
		heartbeatIntervalMs: durationMs.default(
			defaultSettings.heartbeatIntervalMs,
		),
		/** An unsettled claim becomes unknown after this. */
		claimHoldMs: durationMs.default(15_000),
		/** Orders are given within this time of a read that the group confirmed. */
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

/** Settings file of `lovage-control`. Times in milliseconds. */
export const controlSettingsSchema = z.strictObject({
	/** Stays when the instance loses its disk. */
	name: z.string().min(1).max(63),
	listen: z.strictObject({
		host: z.string().default('127.0.0.1'),
		port: z.number().int().min(0).max(65_535),
	}),
	/** Base URL towards entries, operators and the other control instances. */
	address: z.url(),
	dataFolder: z.string().min(1),
	/** Base URLs of the group's instances; this one may be among them. */
	controls: z.array(z.url()).max(9).default([]),
	/** Hash of the key that may apply the first configuration. */
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

/** Checked settings of `lovage-control`. */
export type ControlProgramSettings = z.output<typeof controlSettingsSchema>;

/** Removes a slash at the end of a base URL. */
export function removeTrailingSlash(address: string): string {
	return address.replace(/\/$/, '');
}

/** Settings of the replicated log. */
export function createRaftSettings({
	timings,
}: ControlProgramSettings): RaftSettings {
	const {electionTimeoutMs, heartbeatIntervalMs} = timings;
	return {...defaultSettings, electionTimeoutMs, heartbeatIntervalMs};
}

/** Settings of the decisions. */
export function createRoleSettings(
	cfg: ControlProgramSettings,
): ControlSettings {
	const {leaseMs, orderLeaseMs, claimHoldMs} = cfg.timings;
	return {
		lease: {leaseMs, driftShare: MAX_CLOCK_DRIFT_SHARE},
		orders: {
			holderLeaseMs: orderLeaseMs,
			deliverWithinMs: ORDER_DELIVERY_TIMEOUT_MS,
			loadWithinMs: MODEL_LOAD_TIMEOUT_MS,
			retryAfterMs: ORDER_RETRY_DELAY_MS,
			driftShare: MAX_CLOCK_DRIFT_SHARE,
		},
		claimHoldMs,
		snapshotEveryEntries: SNAPSHOT_INTERVAL_ENTRIES,
		maxWaiting: MAX_PENDING_REQUESTS,
		bootstrapKeyHash: cfg.bootstrapOperatorKeyHash,
	};
}
