import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {hasEventIdLength} from '@lovagevalve/dispatch';
import {chooseTarget, type RouteTable} from '@lovagevalve/routing';
import type {AcceptedRequest, GatewayContext} from './context.js';
import {isRelayed, removeRelayHeaders} from './peer-relay.js';
import type {RequestGuard} from './guard.js';
import type {ProblemResponse} from './problem-response.js';
import {combinePriorities} from './request-priority.js';
import {RETRY_AFTER_MS} from './responses.js';
import {toTimerMs} from './timer-range.js';

/** Characters of a request target that Node.js accepts and doesn't send on. */
const UNSENDABLE_CHARACTER = /[^\u0021-\u00FF]/;

/** Size of a request's headers as it was sent, in bytes. */
export function countHeaderBytes(req: IncomingMessage): number {
	return req.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

/** Digest that is the same for all attempts of a caller's request. */
function digestRequest(
	method: string,
	path: string,
	caller: string,
	body: Uint8Array | undefined,
): string {
	return createHash('sha256')
		.update(`${method} ${path} ${caller}\n`)
		.update(body ?? '')
		.digest('base64url');
}

/** Finds route, customer and service of a request, or says why it is rejected. */
export function acceptRequest(
	ctx: Pick<GatewayContext, 'codec' | 'random'>,
	req: IncomingMessage,
	{
		res,
		guard,
		routeTable,
		body,
		startedAt,
	}: Readonly<{
		res: ServerResponse;
		guard: RequestGuard;
		routeTable: RouteTable;
		body: Uint8Array | undefined;
		/** Time of arrival, in monotonic milliseconds. */
		startedAt: number;
	}>,
): AcceptedRequest | ProblemResponse {
	const path = req.url ?? '/';
	const method = req.method ?? 'GET';
	if (UNSENDABLE_CHARACTER.test(path)) {
		return {status: 400, reason: 'the request target is malformed'};
	}

	const metadata = ctx.codec.readRequest(req.headers);
	const route = routeTable.findRoute(req.headers.host ?? '', path);
	if (route === undefined) {
		return {status: 404, reason: 'no route matches'};
	}

	if (
		route.kind === 'stream' &&
		!hasEventIdLength(metadata.lastEventId ?? '')
	) {
		return {status: 400, reason: 'the id of the last event is too long'};
	}

	const customer =
		metadata.key === undefined
			? undefined
			: routeTable.findCustomer(metadata.key);
	if (routeTable.requiresKey && !route.isAnonymous && customer === undefined) {
		return {status: 401, reason: 'the key is unknown'};
	}

	const target = chooseTarget(route.targets, ctx.random());
	const service =
		target === undefined ? undefined : routeTable.findService(target);
	if (service === undefined) {
		return {
			status: 503,
			reason: 'the route has no service',
			retryAfterMs: RETRY_AFTER_MS,
		};
	}

	const waitMs = Math.min(metadata.waitMs ?? route.timeoutMs, route.timeoutMs);
	return {
		metadata,
		route,
		service,
		customer: customer?.name,
		priority: combinePriorities(customer?.priority, route.priority),
		digest: digestRequest(method, path, customer?.name ?? '', body),
		method,
		path,
		isRelayed: isRelayed(req.headers),
		rawHeaders: removeRelayHeaders(req.rawHeaders),
		body,
		res,
		guard,
		startedAt,
		deadlineAt: startedAt + toTimerMs(waitMs),
	};
}
