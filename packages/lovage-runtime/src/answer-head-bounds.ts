import type {ClientRequest} from 'node:http';
import {MAX_INTERIM_ANSWERS} from './interim-bound.js';

/** Bytes before the end of an answer's head, interim answers and line breaks included. */
const MAX_HEAD_BYTES = 131_072;

/**
 * Bounds what may arrive before the head of an answer is complete. The HTTP parser
 * bounds one head, but neither what precedes it nor interim answers. `onExceeded` is
 * called once and is to destroy the request.
 */
export function boundAnswerHead(
	req: ClientRequest,
	onExceeded: (reason: string) => void,
): void {
	let isOver = false;
	let interimAnswers = 0;
	const exceed = (reason: string): void => {
		if (!isOver) {
			isOver = true;
			onExceeded(reason);
		}
	};

	req.once('response', () => {
		isOver = true;
	});
	req.on('information', () => {
		interimAnswers += 1;
		if (interimAnswers > MAX_INTERIM_ANSWERS) {
			exceed(`flood: ${interimAnswers} interim answers`);
		}
	});
	req.once('socket', (socket) => {
		const bytesBefore = socket.bytesRead;
		const count = (): void => {
			const bytes = socket.bytesRead - bytesBefore;
			if (bytes > MAX_HEAD_BYTES) {
				exceed(`flood: ${bytes} bytes before the end of a head`);
			}

			if (isOver) {
				socket.off('data', count);
			}
		};

		// The parser's listener comes first, so a complete head is known here.
		socket.on('data', count);
		req.once('close', () => {
			socket.off('data', count);
		});
	});
}
