import type {ServerResponse} from 'node:http';

/**
 * Ends a response that can't be completed. Over HTTP/1.1 its length or missing
 * last chunk shows that; an HTTP/1.0 response ends with its connection, which is
 * reset for that reason.
 */
export function breakOff(res: ServerResponse): void {
	if (res.req.httpVersion === '1.0') {
		res.socket?.resetAndDestroy();
	} else {
		res.destroy();
	}
}

/**
 * Breaks off the response when its body fails. `@hono/node-server` would write the
 * error's message into the body and end it properly.
 */
export function breakOffOnError(
	response: Response,
	res: ServerResponse,
): Response {
	const {body, status, headers} = response;
	if (body === null) {
		return response;
	}

	const reader = body.getReader() as ReadableStreamDefaultReader<Uint8Array>;
	const watchEnd = async (): Promise<void> => {
		try {
			await reader.closed;
		} catch {
			breakOff(res);
		}
	};

	void watchEnd();
	const guarded = new ReadableStream<Uint8Array>(
		{
			async pull(controller) {
				const {done, value} = await reader.read();
				if (done) {
					controller.close();
				} else {
					controller.enqueue(value);
				}
			},
			async cancel(reason) {
				await reader.cancel(reason);
			},
		},
		{highWaterMark: 0},
	);
	return new Response(guarded, {status, headers});
}
