// The operator, and the configuration that it sends.
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from './http.js';
import type {Recorder} from './record.js';
import type {Machine} from './system.js';

export const HOST = 'case.example';
export const KEY = 'key-of-tenant-one';

const LIMIT_MS = 20_000;
const PAUSE_MS = 200;

/** Kind of a route. */
export type Kind = 'idempotent' | 'non_idempotent' | 'stream';

/** A route to a service, under the path of its name. */
export type Route = Readonly<{name: string; kind: Kind; service: string}>;

function describeRoute({name, kind, service}: Route) {
	const isStream = kind === 'stream';
	return {
		name,
		host: HOST,
		'path-prefix': `/${name}/`,
		kind,
		'timeout-ms': isStream ? 25_000 : 10_000,
		'target-latency-ms': isStream ? 4500 : 1000,
		priority: 1,
		service,
		'max-attempts': 5,
		anonymous: false,
		...(isStream
			? {resumable: true, 'sticky-sessions': true, 'target-gap-ms': 700}
			: {}),
	};
}

/** Creates a configuration with one tenant. */
export function createConfiguration(
	version: number,
	routes: readonly Route[],
): string {
	const services = [...new Set(routes.map(({service}) => service))];
	return JSON.stringify({
		version,
		routes: routes.map(describeRoute),
		services: services.map((name) => ({
			name,
			'health-path': '/health',
			'max-conns': 500,
			protocol: 'h1',
			tls: false,
		})),
		limits: {
			'max-header-bytes': 16_384,
			'max-body-bytes': 4_194_304,
			'header-timeout-ms': 3000,
			'idle-timeout-ms': 15_000,
		},
		tenants: [{name: 'tenant-one', 'api-keys': [KEY], priority: 1}],
	});
}

/** Sends a configuration to one control instance after the other until it is acknowledged. */
export async function configure(
	record: Recorder,
	controls: readonly Machine[],
	body: string,
): Promise<void> {
	const endAt = performance.now() + LIMIT_MS;
	for (let turn = 0; performance.now() < endAt; turn += 1) {
		const {name, control} = controls[turn % controls.length]!;
		/* eslint-disable no-await-in-loop -- the next one is asked after a failure */
		const {status} = await call({
			address: control,
			method: 'PUT',
			path: '/v1/config',
			headers: {'Content-Type': 'application/json'},
			body,
		});
		if (status === 200) {
			record(`${name} acknowledges the configuration`);
			return;
		}

		await sleep(PAUSE_MS);
		/* eslint-enable no-await-in-loop */
	}

	throw new Error('no control instance acknowledged the configuration');
}
