import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {BackendRecord, Work} from '@lovagevalve/dispatch';
import type {Route, RouteTable, Service} from '@lovagevalve/routing';
import type {Clock, Logger, PulledMetrics} from '@lovagevalve/runtime';
import type {BackendView} from './backend-view.js';
import type {HeaderCodec, RequestMetadata} from './protocol.js';
import type {RetryBudgets} from './retry-budgets.js';

/** What every request at an entry works with. */
export type GatewayContext = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: PulledMetrics;
	codec: HeaderCodec;
	view: BackendView;
	retryBudgets: RetryBudgets;
	/** Draws a number in [0, 1). */
	random: () => number;
	dataCentre: string;
	/** Newest configuration; absent until one is known. */
	readRouteTable: () => RouteTable | undefined;
	isBlocked: (digest: string) => boolean;
	/** Tells that a backend server died while it held a request. */
	reportCrash: (digest: string, backend: BackendRecord) => void;
}>;

/** A request that was read and may be forwarded. */
export type AcceptedRequest = Readonly<{
	metadata: RequestMetadata;
	route: Route;
	service: Service;
	customer: string | undefined;
	/** Digest of path, customer and body. */
	digest: string;
	method: string;
	path: string;
	rawHeaders: readonly string[];
	body: Uint8Array | undefined;
	res: ServerResponse;
	startedAt: number;
	/** When the caller or the route gives up, in monotonic milliseconds. */
	deadlineAt: number;
}>;

/** What is left of a request's time, in whole milliseconds. */
export function readRemainingMs(
	ctx: GatewayContext,
	req: AcceptedRequest,
): number {
	return Math.floor(req.deadlineAt - ctx.clock.now());
}

/** Describes a request to the placement. */
export function describeWork(
	ctx: GatewayContext,
	req: AcceptedRequest,
	excluded: readonly string[],
	failedDataCentres: readonly string[],
): Work {
	const {promptTokens, outputTokens} = req.metadata;
	return {
		dataCentre: ctx.dataCentre,
		promptTokens,
		memoryTokens: promptTokens + outputTokens,
		excluded,
		lostAt: failedDataCentres,
		engine: req.service.engine,
	};
}
