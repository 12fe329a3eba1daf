import type {BufferBudget} from '@lovagevalve/runtime';
import {
	configuration,
	createTestBuffers,
	startHarness,
	type Harness,
} from './harness.js';
import {startSoundBackend, type CreateBody} from './started-backends.js';

/** What the gateway may buffer. */
export const CAPACITY_BYTES = 8_388_608;
/** Small chunks that it may read at once. */
export const MAX_SMALL_CHUNKS = 16_384;
export const MAX_BODY_BYTES = 4_194_304;

/** A gateway that may buffer little. */
export type BoundedGateway = Readonly<{
	harness: Harness;
	buffers: BufferBudget;
}>;

/** Starts one before a backend server with these answers. */
export async function startBoundedGateway(
	cleanups: Array<() => unknown>,
	createBody: CreateBody,
): Promise<BoundedGateway> {
	const port = await startSoundBackend(cleanups, createBody);
	const buffers = createTestBuffers(CAPACITY_BYTES, MAX_SMALL_CHUNKS);
	const limits = {...configuration.limits, maxBodyBytes: MAX_BODY_BYTES};
	const harness = await startHarness(
		{...configuration, limits},
		undefined,
		[],
		{buffers},
	);
	harness.setBackends([port]);
	cleanups.push(harness.close);
	return {harness, buffers};
}
