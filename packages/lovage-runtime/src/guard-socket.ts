import type {Socket} from 'node:net';

function ignoreError(): void {
	// The request that uses the socket reports its failure.
}

/**
 * Keeps an error of a client's socket from ending the process. Node.js removes its own
 * listener when an answer has arrived and the request counts as sent, which it also does
 * if a write has just failed; the error of that write is emitted afterwards.
 */
export function guardSocket(socket: Socket): void {
	if (!socket.listeners('error').includes(ignoreError)) {
		socket.on('error', ignoreError);
	}
}
