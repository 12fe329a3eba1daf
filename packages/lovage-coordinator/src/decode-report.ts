import {
	type CompactLoads,
	type Crash,
	type CrashReport,
	decodeFloods,
	decodeSpeeds,
	type EntryReport,
	type EntryStatus,
	type KnownRevision,
	type LimitReport,
	type OriginReport,
	parseIncarnationKey,
	type RetryCounts,
} from '@lovagevalve/dispatch';
import {isRolloutReport} from '@lovagevalve/rollout';
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

const STANDINGS: ReadonlySet<unknown> = new Set<EntryStatus>([
	'starting',
	'ready',
	'leaving',
]);

function isText(value: unknown): value is string {
	return typeof value === 'string';
}

function isFigureOrAbsent(value: unknown): boolean {
	return isAbsent(value) || isFigure(value);
}

/** Loads are added and subtracted, which must not lose the other loads of a sum. */
function isLoadFigure(value: unknown): boolean {
	return (
		value === null ||
		(typeof value === 'number' &&
			value >= Number.MIN_SAFE_INTEGER &&
			value <= Number.MAX_SAFE_INTEGER)
	);
}

function isLoad(value: unknown): value is CompactLoads[string] {
	// Without a callback: a report has hundreds.
	return (
		Array.isArray(value) &&
		value.length === 3 &&
		isLoadFigure(value[0]) &&
		isLoadFigure(value[1]) &&
		isLoadFigure(value[2])
	);
}

function isRetryCounts(value: unknown): value is RetryCounts {
	return (
		isJsonObject(value) &&
		isFigure(value.requests) &&
		isFigure(value.retries) &&
		isFigureOrAbsent(value.active) &&
		isFigureOrAbsent(value.recent)
	);
}

function isLimitReport(value: unknown): value is LimitReport {
	return (
		isJsonObject(value) &&
		isFigureOrAbsent(value.perSecond) &&
		isFigure(value.ageMs) &&
		isFigure(value.sent)
	);
}

/** Whether a value names a request in the records of the quarantine, and no member that all objects have. */
export function isDigest(value: unknown): value is string {
	return isNonEmptyText(value) && !(value in Object.prototype);
}

function isCrash(value: unknown): value is Crash {
	return (
		isJsonObject(value) &&
		isDigest(value.digest) &&
		isText(value.backend) &&
		Number.isFinite(parseIncarnationKey(value.backend).bornAt)
	);
}

function isCrashReport(value: unknown): value is CrashReport {
	const {dataCentre, ageMs, sentAgeMs, parts} = (value ??
		{}) as Partial<CrashReport>;
	return (
		isCrash(value) &&
		isText(dataCentre) &&
		isFigure(ageMs) &&
		isFigureOrAbsent(sentAgeMs) &&
		isListOf(parts, isText)
	);
}

function isOriginReport(value: unknown): value is OriginReport {
	if (!Array.isArray(value)) {
		return false;
	}

	const [key, service, softwareVersion, keepMs, incarnation, ageMs] =
		value as unknown[];
	return (
		isText(key) &&
		isText(service) &&
		isText(softwareVersion) &&
		isFigure(keepMs) &&
		(isAbsent(incarnation) || isText(incarnation)) &&
		isFigureOrAbsent(ageMs)
	);
}

function isRevision(value: unknown): value is KnownRevision {
	return (
		isJsonObject(value) && isFigure(value.epoch) && isFigure(value.revision)
	);
}

/** Checks of the fields of a report, by name. */
const REQUIRED: Readonly<Record<string, (value: unknown) => boolean>> = {
	entry: isNonEmptyText,
	address: isAddress,
	dataCentre: isText,
	standing: (value) => STANDINGS.has(value),
	loads: (value) => isRecordOf(value, isLoad),
	retries: (value) => isRecordOf(value, isRetryCounts),
	crashes: (value) => isListOf(value, isCrash),
};

/** Fields that some builds leave out. */
const OPTIONAL: Readonly<Record<string, (value: unknown) => boolean>> = {
	version: isFigure,
	capacity: isFigure,
	crashReports: (value) => isListOf(value, isCrashReport),
	soundMs: (value) => isRecordOf(value, isFigure),
	leaving: (value) => isListOf(value, isText),
	limits: (value) => isRecordOf(value, isLimitReport),
	brittle: (value) => isRecordOf(value, isLimitReport),
	waiting: (value) => isRecordOf(value, isFigure),
	rollouts: isRolloutReport,
	isCutOff: (value) => typeof value === 'boolean',
	origins: (value) => isListOf(value, isOriginReport),
	known: isRevision,
	wantsOverview: (value) => typeof value === 'boolean',
	wantsAges: (value) => typeof value === 'boolean',
	agesAboveMs: isFigure,
	knownServing: isRevision,
};

/**
 * Checks a report of an entry as a whole; nothing of it is copied but the floods
 * and speeds, of which what can't be read is left out.
 */
export function decodeReport(value: unknown): Result<EntryReport, string> {
	if (!isJsonObject(value)) {
		return err('the report is no object');
	}

	const malformed = [
		...Object.keys(REQUIRED).filter((name) => !REQUIRED[name]!(value[name])),
		...Object.keys(OPTIONAL).filter(
			(name) => value[name] !== undefined && !OPTIONAL[name]!(value[name]),
		),
	];
	return malformed.length === 0
		? ok({
				...(value as EntryReport),
				floods: decodeFloods(value.floods),
				speeds: decodeSpeeds(value.speeds),
			})
		: err(`malformed: ${malformed.join(' ')}`);
}
