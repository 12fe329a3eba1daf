import {
	isLogEntry,
	isMember,
	type HardState,
	type Snapshot,
} from '@lovagevalve/consensus';
import {err, ok, type Result} from 'neverthrow';
import type {BaseRecord, LogChange} from './stored-state.js';

type Fields = Readonly<Record<string, unknown>>;

function isFields(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isIndex(value: unknown): boolean {
	return Number.isSafeInteger(value) && Number(value) >= 0;
}

function isTextOrAbsent(value: unknown): boolean {
	return value === undefined || typeof value === 'string';
}

function isHardState(value: unknown): value is HardState {
	return (
		isFields(value) &&
		isIndex(value.term) &&
		isTextOrAbsent(value.group) &&
		isTextOrAbsent(value.vote)
	);
}

function areLogEntries(value: unknown): boolean {
	return Array.isArray(value) && value.every((entry) => isLogEntry(entry));
}

function isBaseRecord(value: unknown): value is BaseRecord {
	return (
		isFields(value) &&
		typeof value.replica === 'string' &&
		value.replica !== '' &&
		typeof value.hasSnapshot === 'boolean' &&
		isHardState(value.hardState) &&
		areLogEntries(value.entries)
	);
}

function isLogChange(value: unknown): value is LogChange {
	return (
		isFields(value) &&
		(value.hardState === undefined || isHardState(value.hardState)) &&
		(value.truncateAfter === undefined || isIndex(value.truncateAfter)) &&
		areLogEntries(value.entries)
	);
}

function isLogChangeList(value: unknown): value is readonly LogChange[] {
	return Array.isArray(value) && value.every((change) => isLogChange(change));
}

function isSnapshot(value: unknown): value is Snapshot {
	return (
		isFields(value) &&
		isIndex(value.index) &&
		isIndex(value.term) &&
		typeof value.data === 'string' &&
		Array.isArray(value.members) &&
		value.members.every((member) => isMember(member))
	);
}

function decode<Value>(
	text: string,
	isValue: (value: unknown) => value is Value,
	what: string,
): Result<Value, string> {
	try {
		const value: unknown = JSON.parse(text);
		return isValue(value) ? ok(value) : err(`${what} is malformed`);
	} catch {
		return err(`${what} is no JSON`);
	}
}

/** Decodes the first record of a log file. */
export function decodeBaseRecord(text: string): Result<BaseRecord, string> {
	return decode(text, isBaseRecord, 'the first record of the log');
}

/** Decodes a later record of a log file. */
export function decodeLogChanges(
	text: string,
): Result<readonly LogChange[], string> {
	return decode(text, isLogChangeList, 'a record of the log');
}

/** Decodes the record of a snapshot file. */
export function decodeSnapshot(text: string): Result<Snapshot, string> {
	return decode(text, isSnapshot, 'the snapshot');
}
