/* eslint @typescript-eslint/switch-exhaustiveness-check: "off" -- it needs types, which JavaScript has none of */
// The configuration of a small deployment: one service of engines, one plain service.

export const HOST = 'ficu95.example';
export const API_KEY = 'xd9dnn2ctnfzs989anu6';
export const TENANT = 'huka270';

const ROUTE = {host: HOST, priority: 1, anonymous: false};

/** Creates a version of it; `routes` are added to the standard ones. */
export function createConfiguration(version, routes = []) {
	return {
		version,
		routes: [
			{
				...ROUTE,
				name: 'r-stream',
				'path-prefix': '/stream/',
				kind: 'stream',
				'timeout-ms': 25_000,
				'target-latency-ms': 4500,
				'target-gap-ms': 700,
				service: 'model',
				'max-attempts': 5,
				'sticky-sessions': true,
				resumable: true,
			},
			{
				...ROUTE,
				name: 'r-grant',
				'path-prefix': '/grant/',
				kind: 'non_idempotent',
				'timeout-ms': 1200,
				'target-latency-ms': 193,
				service: 'desk',
				'max-attempts': 1,
			},
			{
				...ROUTE,
				name: 'r-lookup',
				'path-prefix': '/lookup/',
				kind: 'idempotent',
				'timeout-ms': 1200,
				'target-latency-ms': 193,
				service: 'desk',
				'max-attempts': 2,
			},
			...routes.map((route) => ({...ROUTE, ...route})),
		],
		services: [
			{
				name: 'model',
				'health-path': '/health',
				'max-conns': 500,
				protocol: 'h1',
				tls: false,
				engine: {
					slots: 96,
					'kv-capacity-tokens': 55_000,
					models: [{name: 'm'}],
				},
			},
			{
				name: 'desk',
				'health-path': '/health',
				'max-conns': 110,
				protocol: 'h1',
				tls: false,
			},
		],
		limits: {
			'max-header-bytes': 16_384,
			'max-body-bytes': 4_194_304,
			'header-timeout-ms': 3000,
			'idle-timeout-ms': 15_000,
		},
		tenants: [{name: TENANT, 'api-keys': [API_KEY], priority: 1}],
	};
}
