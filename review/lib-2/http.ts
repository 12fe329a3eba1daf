// Calls over HTTP/1.1, as clients, workers and the operator send them.
import {Buffer} from 'node:buffer';
import {
	type Agent,
	type IncomingHttpHeaders,
	type IncomingMessage,
	request,
} from 'node:http';

/** A call. */
export type Call = Readonly<{
	address: string;
	path: string;
	method?: string;
	headers?: Readonly<Record<string, string>>;
	body?: string;
	agent?: Agent;
	timeoutMs?: number;
	/** Called with each part of the answer's body. */
	onData?: () => void;
}>;

/** What came back, whole or not; the status is 0 if nothing did. */
export type Answer = Readonly<{
	status: number;
	isWhole: boolean;
	reason: string;
	headers: IncomingHttpHeaders;
	body: string;
	tookMs: number;
}>;

/** Time within which machines answer workers and the operator. */
const TIMEOUT_MS = 1000;

/** Sends a call. */
export async function call({
	address,
	path,
	method = 'GET',
	headers = {},
	body,
	agent,
	timeoutMs = TIMEOUT_MS,
	onData,
}: Call): Promise<Answer> {
	return new Promise((resolve) => {
		const [host = '', port = ''] = address.split(':');
		const sentAt = performance.now();
		const chunks: Uint8Array[] = [];
		let received: IncomingMessage | undefined;
		const req = request({
			host,
			port: Number(port),
			method,
			path,
			agent: agent ?? false,
			headers: {
				...headers,
				...(body === undefined
					? {}
					: {'Content-Length': String(Buffer.byteLength(body))}),
			},
		});
		const end = (isWhole: boolean, reason: string): void => {
			clearTimeout(timer);
			resolve({
				status: received?.statusCode ?? 0,
				isWhole,
				reason,
				headers: received?.headers ?? {},
				body: Buffer.concat(chunks).toString('utf8'),
				tookMs: performance.now() - sentAt,
			});
		};

		const fail = (error: NodeJS.ErrnoException): void => {
			end(false, error.code ?? error.message);
		};

		const timer = setTimeout(() => {
			end(false, 'deadline');
			req.destroy();
		}, timeoutMs);
		req.on('error', fail);
		req.on('response', (res) => {
			received = res;
			res.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
				onData?.();
			});
			res.on('error', fail);
			res.on('end', () => {
				end(res.complete, res.complete ? 'whole' : 'incomplete');
			});
		});
		req.end(body);
	});
}
