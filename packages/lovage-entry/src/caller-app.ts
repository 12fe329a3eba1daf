import {randomUUID} from 'node:crypto';
import {
	findCustomer,
	isLeaving,
	listAddresses,
	type EntryState,
} from '@lovagevalve/entry-role';
import {
	callRequestSchema,
	createProblem,
	digestPromptPrefix,
	generationRequestSchema,
	type AddressesResponse,
	type GenerationRequest,
	type Problem,
} from '@lovagevalve/wire';
import {Hono, type Context} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {createProblemResponse} from './caller-stream.js';
import {readCursor, type SignedCursor} from './cursor.js';
import {matchesDigest} from './delivered.js';
import {digestCall, digestGeneration, hashBearerKey} from './digests.js';
import type {EntryHost} from './host.js';

/** Settings of the HTTP API for callers. */
export type CallerAppOptions = Readonly<{
	cursorSecret: string;
	maxBodyBytes: number;
}>;

const MAX_ISSUES = 5;

/**
 * Hashes the bearer key of an `authorization` header in the format of the
 * inventory; empty without a key.
 */
export function readKeyHash(authorization: string | undefined): string {
	const key = /^Bearer (.{1,256})$/.exec(authorization ?? '');
	return key ? hashBearerKey(key[1]!) : '';
}

/**
 * Parses a JSON body and validates it against a schema; the problem lists the
 * invalid fields.
 */
export async function readBody<T>(
	ctx: Context,
	schema: z.ZodType<T>,
): Promise<Result<T, Problem>> {
	const parsed = schema.safeParse(await readJson(ctx));
	if (parsed.success) {
		return ok(parsed.data);
	}

	const detail = parsed.error.issues
		.slice(0, MAX_ISSUES)
		.map(({path, message}) => `${path.join('.') || 'body'}: ${message}`)
		.join('; ');
	return err(createProblem('invalid-request', detail, {outcome: 'not-run'}));
}

async function readJson(ctx: Context): Promise<unknown> {
	try {
		return (await ctx.req.json()) as unknown;
	} catch {
		return undefined;
	}
}

function readLastEventId(
	ctx: Context,
	secret: string,
): Result<SignedCursor | undefined, Problem> {
	const text = ctx.req.header('last-event-id');
	return text === undefined
		? ok(undefined)
		: readCursor(text, secret).mapErr(() =>
				createProblem('invalid-cursor', 'No entry wrote this cursor.'),
			);
}

/** Whether the tokens sent with a cursor are those delivered before it. */
function matchesDeliveredTokens(
	req: GenerationRequest,
	signed: SignedCursor | undefined,
): boolean {
	return (
		signed !== undefined &&
		req.delivered?.length === signed.cursor.offset &&
		matchesDigest(req.delivered, signed.deliveredDigest)
	);
}

function createAddressesResponse(
	state: EntryState,
	keyHash: string,
): AddressesResponse {
	const {configuration} = state.lease;
	const customer = configuration && findCustomer(configuration, keyHash);
	const addresses = listAddresses(
		state.options,
		state.lease,
		isLeaving(state),
		customer ?? '',
	);
	return {addresses, lifetimeMs: state.options.addressLifetimeMs};
}

/** Creates the HTTP API for callers. */
export function createCallerApp(
	host: EntryHost,
	{cursorSecret, maxBodyBytes}: CallerAppOptions,
): Hono {
	const app = new Hono();
	const limit = bodyLimit({
		maxSize: maxBodyBytes,
		onError: () =>
			createProblemResponse(
				createProblem(
					'too-large',
					`A body has at most ${maxBodyBytes} bytes.`,
					{
						outcome: 'not-run',
					},
				),
			),
	});

	app.get('/v1/addresses', (ctx) =>
		ctx.json(
			createAddressesResponse(
				host.readState(),
				readKeyHash(ctx.req.header('authorization')),
			),
		),
	);

	app.post('/v1/generations', limit, async (ctx) => {
		const body = await readBody(ctx, generationRequestSchema);
		const signed = readLastEventId(ctx, cursorSecret);
		if (body.isErr()) {
			return createProblemResponse(body.error);
		}

		if (signed.isErr()) {
			return createProblemResponse(signed.error);
		}

		const req = body.value;
		const isDelivered = matchesDeliveredTokens(req, signed.value);
		return host.openStream(
			{...req, delivered: isDelivered ? req.delivered : undefined},
			readKeyHash(ctx.req.header('authorization')),
			{
				requestId: req.requestId,
				service: req.service,
				model: req.model,
				promptBytes: new TextEncoder().encode(req.prompt).length,
				maxTokens: req.maxTokens,
				deadlineMs: req.deadlineMs,
				digest: digestGeneration(req),
				prefixes: [digestPromptPrefix(req.prompt)],
				cursor: signed.value?.cursor,
				hasDelivered: isDelivered,
			},
		);
	});

	app.post('/v1/calls', limit, async (ctx) => {
		const body = await readBody(ctx, callRequestSchema);
		if (body.isErr()) {
			return createProblemResponse(body.error);
		}

		const req = body.value;
		const {requestId, attempt, service, operation, deadlineMs} = req;
		return host.openCall(req, readKeyHash(ctx.req.header('authorization')), {
			requestId,
			attempt,
			service,
			operation,
			deadlineMs,
			digest: digestCall(req),
		});
	});

	app.notFound(() =>
		createProblemResponse(createProblem('not-found', 'No such resource.')),
	);
	app.onError(() =>
		createProblemResponse(
			createProblem('internal', `Error ${randomUUID()}; see the log.`),
		),
	);
	return app;
}
