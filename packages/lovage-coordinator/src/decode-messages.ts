import {
	isJoiningMember,
	isRaftMessage,
	type JoiningMember,
	type RaftMessage,
	type ReplicaId,
} from '@lovagevalve/consensus';
import {type AgedRecord, decodeRecord} from '@lovagevalve/dispatch';
import {
	isAbsent,
	isAddress,
	isFigure,
	isJsonObject,
	isListOf,
	isNonEmptyText,
	isRecordOf,
} from '@lovagevalve/runtime';
import {err, ok, type Result} from 'neverthrow';
import {isDigest} from './decode-report.js';
import type {ReplicaStatus} from './group-joiner.js';
import type {ProposeOutcome} from './pending-requests.js';
import type {OriginQuery} from './origin-query.js';
import {
	isStoredConfiguration,
	type StoredConfiguration,
} from './state-machine.js';

/** Raft messages of one sender. */
export type RaftDelivery = Readonly<{
	from: string;
	messages: readonly RaftMessage[];
}>;

/** State that a control instance sends to the others. */
export type Gossip = Readonly<{
	backends: readonly AgedRecord[];
	/** Milliseconds since each conviction of the quarantine; older instances don't send it. */
	convictedMs?: Readonly<Record<string, number>>;
}>;

/** State of another control instance, without the records that name no usable backend server. */
export type ReceivedGossip = Required<Gossip> & Readonly<{unusable: number}>;

/** Result of a linearizable read of the configuration. */
export type ReadOutcome =
	| Readonly<{kind: 'found'; configuration: StoredConfiguration}>
	| Readonly<{kind: 'none'}>
	/** This instance cannot confirm which configuration is the newest. */
	| Readonly<{kind: 'unavailable'}>;

const PROPOSE_OUTCOMES: ReadonlySet<unknown> = new Set([
	'committed',
	'not-leader',
	'unknown',
]);

function isText(value: unknown): value is string {
	return typeof value === 'string';
}

/** Checks a delivery as a whole: none of its messages is applied if one is malformed. */
export function decodeRaftDelivery(
	value: unknown,
): Result<RaftDelivery, string> {
	return isJsonObject(value) &&
		isAddress(value.from) &&
		isListOf(value.messages, isRaftMessage)
		? ok({from: value.from, messages: value.messages})
		: err('malformed Raft messages');
}

/** Checks a replica that asks to join. */
export function decodeJoiningMember(
	value: unknown,
): Result<JoiningMember, string> {
	return isJoiningMember(value) && isAddress(value.address)
		? ok(value)
		: err('malformed member');
}

/** Checks the word of a voter that it stops. */
export function decodeDeparture(value: unknown): Result<ReplicaId, string> {
	return isJsonObject(value) && isNonEmptyText(value.replica)
		? ok(value.replica)
		: err('malformed departure');
}

/** Checks the leader's answer to a departure: whether it is committed. */
export function decodeDepartureOutcome(
	value: unknown,
): Result<boolean, string> {
	return isJsonObject(value) && typeof value.isRemoved === 'boolean'
		? ok(value.isRemoved)
		: err('malformed outcome');
}

/** Checks a proposed configuration. */
export function decodeProposal(
	value: unknown,
): Result<StoredConfiguration, string> {
	return isStoredConfiguration(value)
		? ok({version: value.version, text: value.text})
		: err('malformed configuration');
}

/** Checks a question for the origin of a stream. */
export function decodeOriginQuery(value: unknown): Result<OriginQuery, string> {
	return isJsonObject(value) &&
		(isAbsent(value.key) || isText(value.key)) &&
		isListOf(value.services, isText)
		? ok({
				...(isText(value.key) ? {key: value.key} : {}),
				services: value.services,
			})
		: err('malformed question');
}

/** Checks the state of another control instance; an older one may hold a record that names no usable backend server. */
export function decodeGossip(value: unknown): Result<ReceivedGossip, string> {
	if (!isJsonObject(value) || !Array.isArray(value.backends)) {
		return err('malformed backend servers');
	}

	const convictedMs = value.convictedMs ?? {};
	if (
		!isRecordOf(convictedMs, isFigure) ||
		!Object.keys(convictedMs).every((key) => isDigest(key))
	) {
		return err('malformed convictions');
	}

	const backends = value.backends.flatMap((record: unknown) => {
		const decoded = decodeRecord(record);
		return decoded.kind === 'sound' ? [decoded.record] : [];
	});
	return ok({
		backends,
		convictedMs,
		unusable: value.backends.length - backends.length,
	});
}

/**
 * Checks the answer to gossip: whether the departures in it are stored there. An
 * instance of an earlier build doesn't say, and has them in memory.
 */
export function decodeGossipOutcome(value: unknown): Result<boolean, string> {
	const {isStored = true} = isJsonObject(value) ? value : {};
	return typeof isStored === 'boolean'
		? ok(isStored)
		: err('malformed outcome');
}

/** Checks the leader's answer to a proposal. */
export function decodeProposeOutcome(
	value: unknown,
): Result<ProposeOutcome, string> {
	return isJsonObject(value) && PROPOSE_OUTCOMES.has(value.outcome)
		? ok(value.outcome as ProposeOutcome)
		: err('malformed outcome');
}

/** Checks the leader's answer to a read. */
export function decodeReadOutcome(value: unknown): Result<ReadOutcome, string> {
	if (!isJsonObject(value)) {
		return err('malformed outcome');
	}

	const {kind, configuration} = value;
	if (kind === 'found') {
		return decodeProposal(configuration).map((found) => ({
			kind,
			configuration: found,
		}));
	}

	return kind === 'none' || kind === 'unavailable'
		? ok({kind})
		: err('malformed outcome');
}

/** Checks what an instance says of its replica. */
export function decodeReplicaStatus(
	value: unknown,
): Result<ReplicaStatus, string> {
	return isJsonObject(value) &&
		(value.member === undefined || decodeJoiningMember(value.member).isOk()) &&
		(value.group === undefined || isText(value.group)) &&
		(value.leader === undefined || isAddress(value.leader))
		? ok(value as ReplicaStatus)
		: err('malformed status');
}
