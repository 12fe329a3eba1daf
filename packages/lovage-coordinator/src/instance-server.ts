import type {Server} from 'node:http';
import {
	type BufferBudget,
	createJsonServer,
	describeError,
	type JsonResponse,
	type Logger,
	parseJson,
	type PrometheusMetrics,
} from '@lovagevalve/runtime';
import type {InstanceCalls} from './instance-calls.js';

/** Dependencies of the server for traffic between instances. */
export type InstanceServerOptions = Readonly<{
	log: Logger;
	metrics: Pick<PrometheusMetrics, 'count'>;
	buffers: BufferBudget;
	handleCall: InstanceCalls;
}>;

/** Creates the server for traffic between instances; the owner calls `listen`. */
export function createInstanceServer({
	log,
	metrics,
	buffers,
	handleCall,
}: InstanceServerOptions): Server {
	return createJsonServer({
		handler: async ({path, text}) =>
			parseJson(text === '' ? '{}' : text).match(
				async (body) => handleCall(path, body),
				async (reason): Promise<JsonResponse> => ({
					status: 400,
					body: {error: reason},
				}),
			),
		onError(error) {
			metrics.count('failed_calls', {listener: 'instances'});
			log.error('A call from another instance failed.', {
				reason: describeError(error),
			});
		},
		buffers,
		source: 'instances',
	});
}
