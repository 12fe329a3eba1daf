import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	boundAnswerHead,
	createByteCollector,
	createChunkCount,
	describeError,
	guardSocket,
	startDeadline,
} from '@lovagevalve/runtime';
import {err, ok, type Result} from 'neverthrow';
import type {BackendRecord} from '@lovagevalve/dispatch';
import {findAnswerFailure} from './answer-reader.js';
import {parseAddress} from './backend-address.js';
import {createClientRequest} from './backend-exchange.js';
import type {GatewayContext} from './context.js';
import {createGuard} from './guard.js';
import type {BackendCommand} from './protocol.js';

/** Copies of typical size complete within milliseconds. */
const COMMAND_TIMEOUT_MS = 1000;
const MAX_ANSWER_BYTES = 65_536;
const HTTP_OK = 200;

/** A run that a command is about. */
export type CommandTarget = Readonly<{
	/** Backend server that executes the run. */
	backend: BackendRecord;
	requestId: string;
}>;

type CommandContext = Pick<
	GatewayContext,
	'buffers' | 'codec' | 'view' | 'log' | 'resolveAddress'
>;

/**
 * Sends a command to a backend server and resolves with the body of a 200
 * response.
 */
export async function sendBackendCommand(
	ctx: CommandContext,
	target: CommandTarget,
	command: BackendCommand,
): Promise<Result<string, string>> {
	return ctx.view.acceptsCommands(target.backend)
		? askBackend(ctx, target, command, COMMAND_TIMEOUT_MS)
		: err('the backend server asked for a pause or named a limit');
}

/**
 * Asks a backend server what it says of itself. That takes no slot and runs
 * nothing, so it is asked in a pause and beside a limit too.
 */
export async function askBackend(
	ctx: CommandContext,
	{backend, requestId}: CommandTarget,
	{method, path, body = ''}: BackendCommand,
	timeoutMs: number,
): Promise<Result<string, string>> {
	return new Promise((resolve) => {
		const created = createClientRequest({
			...parseAddress(ctx.resolveAddress(backend)),
			method,
			path,
			agent: false,
			headers: {
				'Content-Type': 'application/json',
				'Content-Length': Buffer.byteLength(body),
			},
		});
		if (created.isErr()) {
			resolve(err(created.error));
			return;
		}

		const req = created.value;
		const account = ctx.buffers.open({source: 'backends', name: backend.id});
		req.once('close', account.release);
		const fail = (reason: string): void => {
			cancelDeadline();
			req.destroy();
			resolve(err(reason));
		};

		const guard = createGuard((error) => {
			fail(describeError(error));
		});
		const cancelDeadline = startDeadline(timeoutMs, () => {
			fail('timeout');
		});
		req.on('error', (error: NodeJS.ErrnoException) => {
			fail(error.code ?? error.message);
		});
		const readResponse = (response: IncomingMessage): void => {
			// Only the answers to callers' requests show that a limit is over.
			const sentAt = Number.NEGATIVE_INFINITY;
			const failure = findAnswerFailure(
				ctx,
				{source: 'command', requestId, isRepeatable: true, backend, sentAt},
				response,
			);
			if (failure !== undefined) {
				fail(failure.reason);
				return;
			}

			const collector = createByteCollector({
				account,
				maxBytes: MAX_ANSWER_BYTES,
			});
			const findFragmentation = createChunkCount();
			response.on('data', (chunk: Uint8Array) => {
				const outcome =
					findFragmentation(chunk) === undefined
						? collector.push(chunk)
						: 'fragmented';
				if (outcome !== 'kept') {
					fail(`the answer can't be buffered: ${outcome}`);
				}
			});
			response.on('error', (error) => {
				fail(error.message);
			});
			response.on('end', () => {
				cancelDeadline();
				resolve(
					response.statusCode === HTTP_OK
						? ok(Buffer.from(collector.read()).toString('utf8'))
						: err(`status ${response.statusCode ?? 0}`),
				);
			});
		};

		boundAnswerHead(req, fail);
		req.on('socket', guardSocket);
		req.on('response', guard.wrap(readResponse));
		req.end(body);
	});
}
