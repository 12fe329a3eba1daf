import type {Server} from 'node:http';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {createBodilessServer} from './exchange-times.js';

/** Upper bounds of the latency histograms, in seconds. */
const LATENCY_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4.5, 10, 25];

/** Counters, gauges and histograms served for Prometheus to scrape. */
export type PrometheusMetrics = Readonly<{
	/** Increments a counter; `labels` must have low cardinality. */
	count: (name: string, labels?: Readonly<Record<string, string>>) => void;
	/** Records a duration in milliseconds. */
	time: (
		name: string,
		ms: number,
		labels?: Readonly<Record<string, string>>,
	) => void;
	/** Registers a gauge that is read on every scrape. */
	registerGauge: (name: string, read: () => number) => void;
	/** Serves the metrics in the Prometheus text format. */
	serve: (ip: string, port: number) => Server;
}>;

/** Creates the metrics registry of a process. */
export function createPrometheusMetrics(): PrometheusMetrics {
	const registry = new Registry();
	const counters = new Map<string, Counter>();
	const histograms = new Map<string, Histogram>();

	return {
		count(name, labels = {}) {
			const counter =
				counters.get(name) ??
				new Counter({
					name: `lovage_${name}_total`,
					help: name,
					labelNames: Object.keys(labels),
					registers: [registry],
				});
			counters.set(name, counter);
			counter.inc(labels);
		},
		time(name, ms, labels = {}) {
			const histogram =
				histograms.get(name) ??
				new Histogram({
					name: `lovage_${name}_seconds`,
					help: name,
					labelNames: Object.keys(labels),
					buckets: LATENCY_BUCKETS_S,
					registers: [registry],
				});
			histograms.set(name, histogram);
			histogram.observe(labels, ms / 1000);
		},
		registerGauge(name, read) {
			// eslint-disable-next-line no-new -- the constructor registers the gauge
			new Gauge({
				name: `lovage_${name}`,
				help: name,
				registers: [registry],
				collect() {
					this.set(read());
				},
			});
		},
		serve(ip, port) {
			const server = createBodilessServer(async (_req, res) => {
				try {
					const text = await registry.metrics();
					res.setHeader('Content-Type', registry.contentType);
					res.end(text);
				} catch {
					// A gauge could not be read; the failing scrape shows it.
					res.writeHead(500).end();
				}
			});
			// A metrics port in use must not stop the process; failing scrapes show it.
			server.on('error', () => undefined);
			server.listen(port, ip);
			return server;
		},
	};
}
