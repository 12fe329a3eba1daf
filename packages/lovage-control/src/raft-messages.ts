import type {RaftMessage} from '@lovagevalve/consensus';
import {z} from 'zod';

const index = z.number().int().min(0);
const replica = z.string().min(1).max(64);
const head = {
	group: z.string().max(256),
	from: replica,
	to: replica,
	term: index,
};

const memberSchema = z.strictObject({
	replica,
	name: z.string().max(63),
	address: z.url(),
	voter: z.boolean(),
});

const entrySchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('command'),
		index,
		term: index,
		data: z.string(),
	}),
	z.strictObject({
		kind: z.literal('membership'),
		index,
		term: index,
		members: z.array(memberSchema).max(16),
	}),
	z.strictObject({kind: z.literal('noop'), index, term: index}),
]);

const messageSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		...head,
		kind: z.enum(['vote', 'pre-vote']),
		lastIndex: index,
		lastTerm: index,
		transfer: z.boolean(),
	}),
	z.strictObject({
		...head,
		kind: z.enum(['vote-answer', 'pre-vote-answer']),
		granted: z.boolean(),
	}),
	z.strictObject({
		...head,
		kind: z.literal('append'),
		previousIndex: index,
		previousTerm: index,
		entries: z.array(entrySchema).max(4096),
		commitIndex: index,
		round: index,
	}),
	z.strictObject({
		...head,
		kind: z.literal('append-answer'),
		rejected: z.boolean(),
		matchIndex: index,
		round: index,
	}),
	z.strictObject({
		...head,
		kind: z.literal('snapshot'),
		index,
		lastTerm: index,
		members: z.array(memberSchema).max(16),
		offset: index,
		data: z.string(),
		isLast: z.boolean(),
	}),
	z.strictObject({
		...head,
		kind: z.literal('snapshot-answer'),
		index,
		offset: index,
	}),
	z.strictObject({...head, kind: z.literal('timeout-now')}),
]);

/** Checks a message of another control instance. */
export function parseRaftMessage(value: unknown): RaftMessage | undefined {
	const parsed = messageSchema.safeParse(value);
	return parsed.success ? parsed.data : undefined;
}
