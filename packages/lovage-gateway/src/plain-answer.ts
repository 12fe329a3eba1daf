import type {AcceptedRequest} from './context.js';
import {awaitEnd} from './backend-exchange.js';
import {dropHeaders} from './hop-headers.js';
import type {BufferedAnswer, LargeAnswer} from './plain-try.js';

const BODY_HEADERS: ReadonlySet<string> = new Set(['content-length']);

/** Sends an answer that was buffered as a whole. */
export function sendBuffered(
	req: AcceptedRequest,
	answer: BufferedAnswer,
): void {
	const {status, body, rawHeaders} = answer;
	const headers = dropHeaders(rawHeaders, BODY_HEADERS);
	const isBodyless = req.method === 'HEAD' || status === 204 || status === 304;
	req.res.writeHead(
		status,
		isBodyless ? headers : [...headers, 'Content-Length', String(body.length)],
	);
	req.res.end(isBodyless ? undefined : body);
}

/** Sends the beginning of a large answer, and the rest as it comes. */
export function pipeLarge(
	req: AcceptedRequest,
	{answer, head}: LargeAnswer,
): void {
	const {res} = req;
	res.writeHead(
		answer.statusCode ?? 0,
		dropHeaders(answer.rawHeaders, new Set()),
	);
	head.forEach((chunk) => res.write(chunk));
	res.once('close', () => {
		answer.destroy();
	});
	awaitEnd(
		answer,
		() => {
			res.end();
		},
		() => {
			// The caller must not take the part for the whole.
			res.destroy();
		},
	);
	answer.pipe(res, {end: false});
}
