import type {RaftMessage} from '@lovagevalve/consensus';
import {z} from 'zod';

const nonNegativeInteger = z.number().int().min(0);
const replicaId = z.string().min(1).max(64);
const commonFields = {
	group: z.string().max(256),
	from: replicaId,
	to: replicaId,
	term: nonNegativeInteger,
};

const memberSchema = z.strictObject({
	replica: replicaId,
	name: z.string().max(63),
	address: z.url(),
	voter: z.boolean(),
});

const entrySchema = z.discriminatedUnion('kind', [
	z.strictObject({
		kind: z.literal('command'),
		index: nonNegativeInteger,
		term: nonNegativeInteger,
		data: z.string(),
	}),
	z.strictObject({
		kind: z.literal('membership'),
		index: nonNegativeInteger,
		term: nonNegativeInteger,
		members: z.array(memberSchema).max(16),
	}),
	z.strictObject({
		kind: z.literal('noop'),
		index: nonNegativeInteger,
		term: nonNegativeInteger,
	}),
]);

const messageSchema = z.discriminatedUnion('kind', [
	z.strictObject({
		...commonFields,
		kind: z.enum(['vote', 'pre-vote']),
		lastIndex: nonNegativeInteger,
		lastTerm: nonNegativeInteger,
		transfer: z.boolean(),
	}),
	z.strictObject({
		...commonFields,
		kind: z.enum(['vote-answer', 'pre-vote-answer']),
		granted: z.boolean(),
	}),
	z.strictObject({
		...commonFields,
		kind: z.literal('append'),
		previousIndex: nonNegativeInteger,
		previousTerm: nonNegativeInteger,
		entries: z.array(entrySchema).max(4096),
		commitIndex: nonNegativeInteger,
		round: nonNegativeInteger,
	}),
	z.strictObject({
		...commonFields,
		kind: z.literal('append-answer'),
		rejected: z.boolean(),
		matchIndex: nonNegativeInteger,
		round: nonNegativeInteger,
	}),
	z.strictObject({
		...commonFields,
		kind: z.literal('snapshot'),
		index: nonNegativeInteger,
		lastTerm: nonNegativeInteger,
		members: z.array(memberSchema).max(16),
		offset: nonNegativeInteger,
		data: z.string(),
		isLast: z.boolean(),
	}),
	z.strictObject({
		...commonFields,
		kind: z.literal('snapshot-answer'),
		index: nonNegativeInteger,
		offset: nonNegativeInteger,
	}),
	z.strictObject({...commonFields, kind: z.literal('timeout-now')}),
]);

/** Validates a Raft message from another control instance. */
export function parseRaftMessage(value: unknown): RaftMessage | undefined {
	const parsed = messageSchema.safeParse(value);
	return parsed.success ? parsed.data : undefined;
}
