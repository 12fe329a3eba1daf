import type {
	Death,
	QuarantineState,
	StrikeRecord,
} from '@lovagevalve/quarantine';
import {
	isFigure,
	isJsonObject,
	isListOf,
	isRecordOf,
} from '@lovagevalve/runtime';
import {createStateFile, type StateFile} from './state-file.js';

/** Keeps the quarantine of a control instance over its restarts. */
export type QuarantineFile = StateFile<QuarantineState>;

const FILE_NAME = 'quarantine.json';

function isText(value: unknown): value is string {
	return typeof value === 'string';
}

function isTextList(value: unknown): value is readonly string[] {
	return isListOf(value, isText);
}

function isDeath(value: unknown): value is Death {
	return (
		isJsonObject(value) &&
		isText(value.backend) &&
		isFigure(value.incarnation) &&
		isText(value.dataCentre) &&
		(value.rack === undefined || isText(value.rack)) &&
		isTextList(value.digests) &&
		(value.parts === undefined || isRecordOf(value.parts, isTextList)) &&
		isFigure(value.reportedAt) &&
		(value.sentAt === undefined || isRecordOf(value.sentAt, isFigure)) &&
		(value.verdict === 'pending' ||
			value.verdict === 'struck' ||
			value.verdict === 'forgiven')
	);
}

function isStrikeRecord(value: unknown): value is StrikeRecord {
	return (
		isJsonObject(value) &&
		isFigure(value.strikes) &&
		isFigure(value.lastAt) &&
		(value.deathTimes === undefined || isListOf(value.deathTimes, isFigure)) &&
		(value.requests === undefined || isTextList(value.requests)) &&
		(value.soundAt === undefined || isFigure(value.soundAt))
	);
}

function isQuarantineState(value: unknown): value is QuarantineState {
	return (
		isJsonObject(value) &&
		isFigure(value.now) &&
		(value.version === undefined || isFigure(value.version)) &&
		isListOf(value.deaths, isDeath) &&
		isRecordOf(value.records, isStrikeRecord) &&
		isRecordOf(value.convicted, isFigure) &&
		(value.uncertain === undefined ||
			isRecordOf(value.uncertain, isStrikeRecord))
	);
}

/** Creates access to the quarantine's file in a data folder. */
export function createQuarantineFile(folder: string): QuarantineFile {
	return createStateFile(folder, FILE_NAME, isQuarantineState);
}
