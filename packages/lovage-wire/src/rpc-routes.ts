import {trpcServer} from '@hono/trpc-server';
import type {AnyTRPCRouter} from '@trpc/server';
import type {Hono, MiddlewareHandler} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {MAX_RPC_BYTES, RPC_PATH} from './client.js';

/** Procedure that carries log entries. */
const DELIVER_PATH = `${RPC_PATH}/deliver`;
/** A change becomes a log entry: a text in JSON, which takes up to twice its size. */
const MAX_CHANGE_BYTES = MAX_RPC_BYTES / 2;

/** Size that the body of an RPC may have, in bytes. */
function findMaxRpcBytes(path: string): number {
	return path === DELIVER_PATH ? MAX_RPC_BYTES : MAX_CHANGE_BYTES;
}

const limitBody: MiddlewareHandler = async (ctx, next) => {
	const maxSize = findMaxRpcBytes(ctx.req.path);
	const limit = bodyLimit({
		maxSize,
		onError: () => ctx.text(`A body has at most ${maxSize} bytes.`, 413),
	});
	return limit(ctx, next);
};

/** Serves a router at `RPC_PATH`; a body beyond its size is refused while it arrives. */
export function addRpcRoutes(app: Hono, router: AnyTRPCRouter): void {
	app.use(`${RPC_PATH}/*`, limitBody, trpcServer({router, endpoint: RPC_PATH}));
}
