import {DEFAULT_TIMINGS, type EntryOptions} from '@lovagevalve/entry-role';
import {metricsSettingsSchema} from '@lovagevalve/runtime';
import {z} from 'zod';

const milliseconds = z.number().int().min(10).max(86_400_000);

/**
 * Schema of the settings file of `lovage-entry`. Durations are in milliseconds.
 */
export const entrySettingsSchema = z.strictObject({
	id: z.string().min(1).max(63),
	listen: z.strictObject({
		host: z.string().default('127.0.0.1'),
		port: z.number().int().min(0).max(65_535),
	}),
	/**
	 * Base URL under which callers, backend servers and other entries reach this
	 * entry.
	 */
	address: z.url(),
	dataCentre: z.string().min(1).max(63),
	/** Base URLs of the control instances. */
	controls: z.array(z.url()).min(1).max(5),
	/** Key that signs cursors; must be the same at every entry. */
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
	/** Maximum size of a caller's request body. */
	maxBodyBytes: z.number().int().min(1024).max(67_108_864).default(4_194_304),
});

/** Validated settings of `lovage-entry`. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;

/** Derives the entry's options from its settings. */
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
