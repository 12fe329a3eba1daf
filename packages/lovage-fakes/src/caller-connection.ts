import {isProblem, type Problem} from '@lovagevalve/wire';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {Agent, request, type Dispatcher} from 'undici';

/** Event of a generation stream. */
export type StreamMessage =
	| {kind: 'tokens'; cursor: string; offset: number; tokens: readonly string[]}
	| {kind: 'done'; total: number}
	| {kind: 'problem'; problem: Problem};

/** Reason why a connection ended. */
export type ConnectionEnd =
	| {kind: 'ended'}
	| {kind: 'lost'; detail: string}
	| {kind: 'refused'; status: number; problem?: Problem};

/** Streaming request to one URL. */
export type ConnectionRequest = Readonly<{
	url: string;
	key: string;
	body: unknown;
	cursor?: string;
	/** Idle timeout: for connecting, for the headers and between two reads. */
	silenceMs: number;
	onMessage: (message: StreamMessage) => void;
}>;

function parseMessage(event: EventSourceMessage): StreamMessage | undefined {
	switch (event.event ?? 'message') {
		case 'tokens': {
			const data = JSON.parse(event.data) as {
				offset: number;
				tokens: readonly string[];
			};
			return {kind: 'tokens', cursor: event.id ?? '', ...data};
		}

		case 'done': {
			const {total} = JSON.parse(event.data) as {total: number};
			return {kind: 'done', total};
		}

		case 'problem':
		case 'error': {
			return {kind: 'problem', problem: JSON.parse(event.data) as Problem};
		}

		default: {
			return undefined;
		}
	}
}

async function readErrorResponse(
	res: Dispatcher.ResponseData,
): Promise<ConnectionEnd> {
	const text = await res.body.text();
	try {
		const body: unknown = JSON.parse(text);
		const problem = isProblem(body) ? body : undefined;
		return {kind: 'refused', status: res.statusCode, problem};
	} catch {
		return {kind: 'refused', status: res.statusCode};
	}
}

async function readEventStream(
	res: Dispatcher.ResponseData,
	onMessage: (message: StreamMessage) => void,
): Promise<ConnectionEnd> {
	const parser = createParser({
		onEvent(event) {
			const message = parseMessage(event);
			if (message) {
				onMessage(message);
			}
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of res.body) {
		parser.feed(decoder.decode(chunk as Uint8Array, {stream: true}));
	}

	return {kind: 'ended'};
}

/** Streams over a dedicated connection until the connection ends. */
export async function streamOnce(
	req: ConnectionRequest,
): Promise<ConnectionEnd> {
	const agent = new Agent({
		pipelining: 0,
		connect: {timeout: req.silenceMs},
		headersTimeout: req.silenceMs,
		bodyTimeout: req.silenceMs,
	});
	try {
		const res = await request(req.url, {
			dispatcher: agent,
			method: 'POST',
			headers: {
				'content-type': 'application/json',
				accept: 'text/event-stream',
				authorization: `Bearer ${req.key}`,
				...(req.cursor === undefined ? {} : {'last-event-id': req.cursor}),
			},
			body: JSON.stringify(req.body),
		});
		return res.statusCode === 200
			? await readEventStream(res, req.onMessage)
			: await readErrorResponse(res);
	} catch (error) {
		const detail = error instanceof Error ? error.message : String(error);
		return {kind: 'lost', detail};
	} finally {
		void agent.destroy();
	}
}
