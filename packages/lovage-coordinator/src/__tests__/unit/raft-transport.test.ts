import type {RaftMessage} from '@lovagevalve/consensus';
import {ok} from 'neverthrow';
import {expect, it} from 'vitest';
import {createRaftTransport} from '../../raft-transport.js';

// Configurations of some megabytes in quick succession: all messages that waited were
// sent as one, which the other instance refused as too large, again and again.

const ENTRY_CHARACTERS = 1_000_000;
const MAX_SENT_CHARACTERS = 1_500_000;

function createAppend(index: number, characters: number): RaftMessage {
	return {
		kind: 'append',
		group: 'g',
		from: 'a',
		to: 'b',
		term: 1,
		previousIndex: index - 1,
		previousTerm: 1,
		entries: [{kind: 'command', index, term: 1, data: 'x'.repeat(characters)}],
		commitIndex: 0,
		round: 0,
	};
}

/** Sends messages to an instance and lists the batches that it received. */
async function listBatches(
	messages: readonly RaftMessage[],
): Promise<ReadonlyArray<readonly RaftMessage[]>> {
	const batches: Array<readonly RaftMessage[]> = [];
	const transport = createRaftTransport(
		{
			async call<T>(_address: string, _path: string, body: unknown) {
				batches.push(
					(body as Readonly<{messages: readonly RaftMessage[]}>).messages,
				);
				return ok(undefined as T);
			},
			close: () => undefined,
		},
		'127.0.0.1:1',
	);
	messages.forEach((message) => {
		transport.send('127.0.0.1:2', message);
	});
	await new Promise((resolve) => {
		setTimeout(resolve, 10);
	});
	return batches;
}

it('sends large entries apart from each other', async () => {
	const messages = Array.from({length: 8}, (_, i) =>
		createAppend(i + 1, ENTRY_CHARACTERS),
	);
	const batches = await listBatches(messages);
	expect(batches.flat()).toEqual(messages);
	const largest = Math.max(...batches.map((b) => JSON.stringify(b).length));
	expect(largest).toBeLessThan(MAX_SENT_CHARACTERS);
});

it('sends small messages together', async () => {
	const messages = Array.from({length: 200}, (_, i) => createAppend(i + 1, 10));
	const batches = await listBatches(messages);
	expect(batches.flat()).toEqual(messages);
	expect(batches.length).toBeLessThanOrEqual(5);
});
