import type {Run} from './batch.js';

const HEARTBEAT_INTERVAL_MS = 250;
const encoder = new TextEncoder();

function encodeEvent(event: string, data: unknown): Uint8Array {
	return encoder.encode(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
}

async function waitForProgress(run: Run): Promise<'changed' | 'silent'> {
	return new Promise((resolve) => {
		const listener = (): void => {
			clearTimeout(timer);
			run.listeners.delete(listener);
			resolve('changed');
		};

		const timer = setTimeout(() => {
			run.listeners.delete(listener);
			resolve('silent');
		}, HEARTBEAT_INTERVAL_MS);
		run.listeners.add(listener);
	});
}

/**
 * Streams a run as server-sent events, starting at `offset`. The run continues
 * when the reader disconnects.
 */
export function createRunStream(
	run: Run,
	offset: number,
): ReadableStream<Uint8Array> {
	const {generation, attempt} = run.request;
	let sent = offset;

	return new ReadableStream<Uint8Array>(
		{
			async pull(controller) {
				const isIdle = run.tokens.length <= sent && run.state !== 'done';
				const change =
					isIdle && run.state !== 'cancelled'
						? await waitForProgress(run)
						: 'changed';
				const tokens = run.tokens.slice(sent);
				if (tokens.length > 0) {
					controller.enqueue(
						encodeEvent('tokens', {generation, attempt, offset: sent, tokens}),
					);
					sent += tokens.length;
				} else if (run.state === 'done') {
					controller.enqueue(
						encodeEvent('done', {
							generation,
							attempt,
							total: run.tokens.length,
						}),
					);
					controller.close();
				} else if (run.state === 'cancelled') {
					controller.close();
				} else if (change === 'silent') {
					controller.enqueue(encoder.encode(': heartbeat\n\n'));
				}
			},
		},
		{highWaterMark: 1},
	);
}
