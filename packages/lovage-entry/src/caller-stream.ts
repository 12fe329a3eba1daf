import {
	PROBLEM_CONTENT_TYPE,
	type Problem,
	type TokensEvent,
} from '@lovagevalve/wire';

const MAX_UNREAD_BYTES = 1_048_576;
const HEARTBEAT_MS = 1000;
const MS_PER_SECOND = 1000;

/**
 * Response to one caller: an error status before the first byte, server-sent
 * events afterwards.
 */
export type CallerStream = Readonly<{
	/** Resolves when the event stream opens or the request is refused. */
	response: Promise<Response>;
	/** Sends tokens with the cursor that resumes the stream after them. */
	sendTokens: (cursor: string, event: TokensEvent) => void;
	finish: (total: number) => void;
	/**
	 * Refuses the request: by status if the stream is not open yet, else by a
	 * final `problem` event.
	 */
	refuse: (problem: Problem) => void;
	/** Sends an SSE comment as a keep-alive. */
	heartbeat: () => void;
}>;

/** Creates the HTTP response for a problem. */
export function createProblemResponse(problem: Problem): Response {
	const headers = new Headers({'content-type': PROBLEM_CONTENT_TYPE});
	if (problem.retryAfterMs !== undefined) {
		const seconds = Math.ceil(problem.retryAfterMs / MS_PER_SECOND);
		headers.set('retry-after', String(seconds));
	}

	return new Response(JSON.stringify(problem), {
		status: problem.status,
		headers,
	});
}

function formatEvent(event: string, data: unknown, id?: string): string {
	const idLine = id === undefined ? '' : `id: ${id}\n`;
	return `${idLine}event: ${event}\ndata: ${JSON.stringify(data)}\n\n`;
}

/**
 * Creates the response stream to one caller. A caller that reads too slowly is
 * disconnected once `MAX_UNREAD_BYTES` are buffered, and can resume with its
 * cursor.
 */
export function createCallerStream(onDisconnect: () => void): CallerStream {
	const encoder = new TextEncoder();
	let controller: ReadableStreamDefaultController<Uint8Array> | undefined;
	let isClosed = false;
	let respond: (res: Response) => void;
	const response = new Promise<Response>((resolve) => {
		respond = resolve;
	});
	const openTimer = setTimeout(() => {
		open();
	}, HEARTBEAT_MS);

	const end = (): void => {
		isClosed = true;
		clearTimeout(openTimer);
	};

	const disconnect = (): void => {
		if (!isClosed) {
			end();
			onDisconnect();
		}
	};

	const open = (): void => {
		const isOpen = controller !== undefined;
		if (isOpen || isClosed) {
			return;
		}

		clearTimeout(openTimer);
		const body = new ReadableStream<Uint8Array>(
			{
				start(streamController) {
					controller = streamController;
				},
				cancel: disconnect,
			},
			new ByteLengthQueuingStrategy({highWaterMark: MAX_UNREAD_BYTES}),
		);
		respond(
			new Response(body, {
				headers: {
					'content-type': 'text/event-stream',
					'cache-control': 'no-store',
				},
			}),
		);
	};

	const send = (text: string): void => {
		open();
		if (isClosed || !controller) {
			return;
		}

		controller.enqueue(encoder.encode(text));
		if ((controller.desiredSize ?? 0) <= 0) {
			controller.error(new Error('The caller reads too slowly.'));
			disconnect();
		}
	};

	const close = (): void => {
		if (!isClosed) {
			end();
			controller?.close();
		}
	};

	return {
		response,
		sendTokens(cursor, event) {
			send(formatEvent('tokens', event, cursor));
		},
		finish(total) {
			send(formatEvent('done', {total}));
			close();
		},
		refuse(problem) {
			if (controller) {
				send(formatEvent('problem', problem));
				close();
				return;
			}

			if (!isClosed) {
				end();
				respond(createProblemResponse(problem));
			}
		},
		heartbeat() {
			send(': waiting\n\n');
		},
	};
}
