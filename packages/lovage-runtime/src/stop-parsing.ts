import type {Socket} from 'node:net';

/** What the HTTP parser of Node.js takes for a request that nothing follows. */
const SKIP_REST = 2;

/**
 * Ends the parsing of what a connection has sent. Node.js parses a block that has arrived
 * (64 KB, some thousand requests) to its end, also when its connection was destroyed, and
 * keeps all these requests until the connections of a turn of the event loop are closed.
 */
export function stopParsing(socket: Socket): void {
	const {parser} = socket as Socket & {
		parser?: {onIncoming: () => number};
	};
	if (parser) {
		parser.onIncoming = () => SKIP_REST;
	}
}
