import type {Socket} from 'node:net';

/** What the HTTP parser of Node.js takes for a request that nothing follows. */
const SKIP_REST = 2;

type Parser = {
	constructor: Readonly<{kOnBody?: number}>;
	onIncoming: () => number;
} & Record<number, unknown>;

/**
 * Parsers without their handler of bodies. Node.js uses a parser again for another
 * connection, and does not set this handler again.
 */
const stopped = new Map<Parser, unknown>();

function restoreHandlers(): void {
	stopped.forEach((onBody, parser) => {
		parser[parser.constructor.kOnBody!] = onBody;
	});
	stopped.clear();
}

/**
 * Ends the parsing of what a connection has sent. Node.js parses a block that has arrived
 * (64 KB, some thousand requests or chunks) to its end, also when its connection was
 * destroyed. It keeps all these requests until the connections of a turn of the event loop
 * are closed, and a chunk takes over 1 us as long as it is handed on.
 */
export function stopParsing(socket: Socket): void {
	const {parser} = socket as Socket & {parser?: Parser};
	if (!parser) {
		return;
	}

	parser.onIncoming = () => SKIP_REST;
	const {kOnBody} = parser.constructor;
	if (kOnBody !== undefined && !stopped.has(parser)) {
		if (stopped.size === 0) {
			// A block is parsed within one turn of the event loop.
			setImmediate(restoreHandlers);
		}

		stopped.set(parser, parser[kOnBody]);
		parser[kOnBody] = undefined;
	}
}

/** Reads no more of a connection that stays open until its response is delivered. */
export function stopReading(socket: Socket): void {
	stopParsing(socket);
	// Without this mark the HTTP server resumes the socket as it hands on a body.
	Object.assign(socket, {_paused: true});
	socket.pause();
}
