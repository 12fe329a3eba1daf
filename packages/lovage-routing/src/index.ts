export {checkConfiguration} from './check-configuration.js';
export {chooseTarget, createRouteTable, normalizeHost} from './route-table.js';
export type {RouteTable} from './route-table.js';
export type {
	Configuration,
	Customer,
	EngineLimits,
	RequestLimits,
	Route,
	RouteKind,
	RouteTarget,
	Service,
} from './types.js';
