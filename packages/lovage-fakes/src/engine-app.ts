import {
	engineStartSchema,
	orderSchema,
	type EngineStart,
} from '@lovagevalve/wire';
import {Hono, type Context} from 'hono';
import type {Batch, Run} from './batch.js';
import {applyOrder, type BackendState} from './orders.js';
import type {RecordWriter} from './run-record.js';
import {createRunStream} from './run-stream.js';

/** Dependencies of the HTTP interface of the fake engine. */
export type EngineAppOptions = Readonly<{
	batch: Batch;
	record: RecordWriter;
	checksFencing: boolean;
	getState: () => BackendState;
	setState: (state: BackendState) => void;
}>;

function streamRun(run: Run, offset: number): Response {
	return new Response(createRunStream(run, offset), {
		headers: {'content-type': 'text/event-stream', 'cache-control': 'no-store'},
	});
}

function respondWithError(
	ctx: Context,
	status: 400 | 404 | 409 | 503,
	detail: string,
) {
	return ctx.json({title: detail, status}, status);
}

async function readJson(ctx: Context): Promise<unknown> {
	try {
		return (await ctx.req.json()) as unknown;
	} catch {
		return undefined;
	}
}

function startRun(ctx: Context, batch: Batch, req: EngineStart): Response {
	return batch.start(req).match(
		(run) => streamRun(run, req.prefix.length),
		(reason) =>
			reason === 'held'
				? respondWithError(ctx, 409, 'attempt is held or older')
				: respondWithError(ctx, 503, 'queue is full'),
	);
}

function resumeRun(ctx: Context, run: Run | undefined): Response {
	if (run === undefined) {
		return respondWithError(ctx, 404, 'generation is not held');
	}

	const from = Number(ctx.req.query('from') ?? 0);
	if (Number(ctx.req.query('attempt')) !== run.request.attempt) {
		return respondWithError(ctx, 409, 'another attempt is held');
	}

	return Number.isInteger(from) && from >= 0 && from <= run.tokens.length
		? streamRun(run, from)
		: respondWithError(ctx, 400, 'offset is out of range');
}

function addOrderRoutes(app: Hono, options: EngineAppOptions): void {
	app.post('/v1/orders', async (ctx) => {
		const order = orderSchema.safeParse(await readJson(ctx));
		if (!order.success) {
			return respondWithError(ctx, 400, order.error.message);
		}

		const outcome = applyOrder(
			options.getState(),
			order.data,
			options.checksFencing,
		);
		const {order: id, fencing} = order.data;
		options.record({
			kind: 'ordered',
			order: id,
			fencing,
			obeyed: outcome.isOk(),
		});
		return outcome.match(
			(state) => {
				options.setState(state);
				return ctx.json({kind: 'done'});
			},
			(reason) => respondWithError(ctx, 409, reason),
		);
	});
}

/** Creates the HTTP interface of the fake engine. */
export function createEngineApp(options: EngineAppOptions): Hono {
	const {batch} = options;
	const app = new Hono();

	app.post('/v1/generations', async (ctx) => {
		const req = engineStartSchema.safeParse(await readJson(ctx));
		return req.success
			? startRun(ctx, batch, req.data)
			: respondWithError(ctx, 400, req.error.message);
	});

	app.get('/v1/generations/:id', (ctx) => {
		const run = batch.find(ctx.req.param('id'));
		if (run === undefined) {
			return respondWithError(ctx, 404, 'generation is not held');
		}

		const {generation, attempt} = run.request;
		const state = run.state === 'done' ? 'done' : 'running';
		return ctx.json({generation, attempt, length: run.tokens.length, state});
	});

	app.get('/v1/generations/:id/stream', (ctx) =>
		resumeRun(ctx, batch.find(ctx.req.param('id'))),
	);

	app.delete('/v1/generations/:id', (ctx) =>
		batch.cancel(ctx.req.param('id'), Number(ctx.req.query('attempt')))
			? ctx.json({kind: 'cancelled'})
			: respondWithError(ctx, 404, 'attempt is not held'),
	);

	app.get('/v1/load', (ctx) => ctx.json(batch.load()));
	addOrderRoutes(app, options);
	return app;
}
