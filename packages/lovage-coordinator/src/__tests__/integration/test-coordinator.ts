import {createServer, type AddressInfo} from 'node:net';
import {createBufferBudget, type PrometheusMetrics} from '@lovagevalve/runtime';
import {
	createCoordinator,
	type Coordinator,
	type CoordinatorSettings,
} from '../../index.js';

const noop = (): undefined => undefined;
const log = {debug: noop, info: noop, warn: noop, error: noop};

export const clock = {now: () => performance.now(), wall: () => Date.now()};

/** Finds a port that is free now. */
export async function findFreePort(): Promise<number> {
	const server = createServer();
	return new Promise((resolve) => {
		server.listen(0, '127.0.0.1', () => {
			const {port} = server.address() as AddressInfo;
			server.close(() => {
				resolve(port);
			});
		});
	});
}

/** Which control instance a test starts. */
export type CoordinatorOptions = Readonly<{
	name: string;
	port: number;
	folder: string;
	seeds: readonly string[];
	isFirstStart: boolean;
	/** What it may buffer, in bytes; by default more than a test uses. */
	capacityBytes?: number;
	/** Instances whose disks may be lost at once. */
	tolerated?: number;
	rollout?: CoordinatorSettings['rollout'];
	registerGauge?: PrometheusMetrics['registerGauge'];
}>;

/** Starts a control instance in this process. */
export async function startCoordinator({
	name,
	port,
	folder,
	seeds,
	isFirstStart,
	capacityBytes = 2 ** 30,
	registerGauge = noop,
	tolerated,
	rollout,
}: CoordinatorOptions): Promise<Coordinator> {
	const metrics = {
		count: noop,
		time: noop,
		registerGauge,
		serve: noop,
	} as unknown as PrometheusMetrics;
	const coordinator = createCoordinator(
		{
			name,
			address: `127.0.0.1:${port}`,
			dataFolder: folder,
			isFirstStart,
			...(tolerated === undefined ? {} : {tolerated}),
			...(rollout === undefined ? {} : {rollout}),
			registrationIntervalMs: 1000,
			readSeeds: () => seeds,
		},
		{
			clock,
			log,
			metrics,
			buffers: createBufferBudget({capacityBytes, log, metrics}),
			random: Math.random,
		},
	);
	await new Promise<void>((resolve) => {
		coordinator.server.listen(port, '127.0.0.1', resolve);
	});
	return coordinator;
}

/** Ends a control instance. */
export async function stopCoordinator(coordinator: Coordinator): Promise<void> {
	coordinator.server.closeAllConnections();
	coordinator.server.close();
	await coordinator.stop();
}
