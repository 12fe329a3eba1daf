import {
	type BufferBudget,
	createBufferBudget,
	createPrometheusMetrics,
} from '../../index.js';

const noop = (): undefined => undefined;

/** Buffers of a test, by default ones whose bounds it does not reach. */
export function createTestBuffers(
	capacityBytes = 2 ** 30,
	maxSmallChunks?: number,
): BufferBudget {
	return createBufferBudget({
		capacityBytes,
		...(maxSmallChunks === undefined ? {} : {maxSmallChunks}),
		log: {debug: noop, info: noop, warn: noop, error: noop},
		metrics: createPrometheusMetrics(),
	});
}
