import type {OriginReport} from './report.js';

/** Limit of the origins in one message. */
const MAX_ORIGINS = 400;
const MAX_TEXT_LENGTH = 256;
/** Longest time for which an origin is kept, in milliseconds. */
export const MAX_ORIGIN_KEEP_MS = 900_000;

function isText(value: unknown): value is string {
	return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH;
}

function isDuration(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isOriginReport(value: unknown): value is OriginReport {
	if (!Array.isArray(value)) {
		return false;
	}

	const [key, service, softwareVersion, keepMs, incarnation, ageMs] =
		value as unknown[];
	return (
		isText(key) &&
		key !== '' &&
		isText(service) &&
		isText(softwareVersion) &&
		isDuration(keepMs) &&
		keepMs <= MAX_ORIGIN_KEEP_MS &&
		(incarnation === undefined || isText(incarnation)) &&
		(ageMs === undefined || isDuration(ageMs))
	);
}

/** Parses a message with origins of streams; undefined if any part of it isn't valid. */
export function parseOriginReports(
	text: string,
): readonly OriginReport[] | undefined {
	try {
		const {origins} = JSON.parse(text) as {origins?: unknown};
		return Array.isArray(origins) &&
			origins.length <= MAX_ORIGINS &&
			origins.every((origin) => isOriginReport(origin))
			? origins
			: undefined;
	} catch {
		// Not JSON, or not an object.
		return undefined;
	}
}
