import {DEFAULT_TIMINGS, type EntryOptions} from '@lovagevalve/entry-role';
import {metricsSettingsSchema} from '@lovagevalve/runtime';
import {z} from 'zod';

const milliseconds = z.number().int().min(10).max(86_400_000);

/** Settings file of `lovage-entry`. Times in milliseconds. */
export const entrySettingsSchema = z.strictObject({
	id: z.string().min(1).max(63),
	listen: z.strictObject({
		host: z.string().default('127.0.0.1'),
		port: z.number().int().min(0).max(65_535),
	}),
	/** Base URL towards callers, backend servers and other entries. */
	address: z.url(),
	dataCentre: z.string().min(1).max(63),
	/** Base URLs of the control instances. */
	controls: z.array(z.url()).min(1).max(5),
	/** Secret that authenticates cursors; the same at each entry. */
	cursorSecret: z.string().min(16).max(256),
	logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
	metrics: metricsSettingsSchema.prefault({}),
	timings: z
		.strictObject({
			renewEveryMs: milliseconds.default(DEFAULT_TIMINGS.renewEveryMs),
			addressLifetimeMs: milliseconds.default(
				DEFAULT_TIMINGS.addressLifetimeMs,
			),
			announceEveryMs: milliseconds.default(DEFAULT_TIMINGS.announceEveryMs),
			announcementLifetimeMs: milliseconds.default(
				DEFAULT_TIMINGS.announcementLifetimeMs,
			),
			callerGraceMs: milliseconds.default(DEFAULT_TIMINGS.callerGraceMs),
			homeLifetimeMs: milliseconds.default(DEFAULT_TIMINGS.homeLifetimeMs),
			callTimeoutMs: milliseconds.default(DEFAULT_TIMINGS.callTimeoutMs),
		})
		.prefault({}),
	callAttempts: z
		.number()
		.int()
		.min(1)
		.max(10)
		.default(DEFAULT_TIMINGS.callAttempts),
	maxOpen: z
		.number()
		.int()
		.min(1)
		.max(100_000)
		.default(DEFAULT_TIMINGS.maxOpen),
	/** Largest body of a caller's request. */
	maxBodyBytes: z.number().int().min(1024).max(67_108_864).default(4_194_304),
});

/** Checked settings of `lovage-entry`. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;

/** Derives the fixed properties of the entry from its settings. */
export function createEntryOptions(
	cfg: EntrySettings,
	incarnation: string,
): EntryOptions {
	const {id, address, dataCentre, timings, callAttempts, maxOpen} = cfg;
	return {
		id,
		address: address.replace(/\/$/, ''),
		dataCentre,
		incarnation,
		...timings,
		callAttempts,
		maxOpen,
	};
}
