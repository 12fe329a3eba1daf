import {Buffer} from 'node:buffer';
import {StatsD} from 'hot-shots';
import {z} from 'zod';

/** Settings of the StatsD server; without a host no metrics are sent. */
export const metricsSettingsSchema = z.strictObject({
	host: z.string().optional(),
	port: z.number().int().min(1).max(65_535).default(8125),
});

/** Address of the StatsD server. */
export type MetricsSettings = z.output<typeof metricsSettingsSchema>;

/** Sends StatsD metrics with the prefix `lovage.`. */
export type Metrics = Readonly<{
	increment: (name: string, count?: number, tags?: readonly string[]) => void;
	gauge: (name: string, value: number, tags?: readonly string[]) => void;
	/** Records a duration in milliseconds. */
	timing: (name: string, ms: number, tags?: readonly string[]) => void;
	close: () => void;
}>;

// An unreachable StatsD server must not stop the program.
const ignoreError = (): undefined => undefined;

/** Creates a StatsD client that sends metrics over UDP. */
export function createMetrics(
	cfg: MetricsSettings,
	globalTags: Readonly<Record<string, string>>,
): Metrics {
	const client = new StatsD({
		host: cfg.host ?? '127.0.0.1',
		port: cfg.port,
		prefix: 'lovage.',
		globalTags: {...globalTags},
		mock: cfg.host === undefined,
		maxBufferSize: 1400,
		errorHandler: ignoreError,
	});
	return {
		increment(name, count = 1, tags = []) {
			client.increment(name, count, [...tags]);
		},
		gauge(name, value, tags = []) {
			client.gauge(name, value, [...tags]);
		},
		timing(name, ms, tags = []) {
			client.timing(name, ms, [...tags]);
		},
		close() {
			client.close();
		},
	};
}
