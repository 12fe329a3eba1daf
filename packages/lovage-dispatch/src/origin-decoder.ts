import type {
	OriginAnswer,
	StreamBeginning,
	StreamOrigin,
} from './stream-origin.js';

type Json = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is Json {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isAge(value: unknown): value is number {
	return Number.isFinite(value) && (value as number) >= 0;
}

function isOrigin(value: unknown): value is StreamOrigin {
	return (
		isObject(value) &&
		typeof value.service === 'string' &&
		typeof value.softwareVersion === 'string'
	);
}

function isBeginning(value: unknown): value is StreamBeginning {
	return (
		isObject(value) &&
		typeof value.incarnation === 'string' &&
		Number.isFinite(value.at)
	);
}

function isVersions(value: unknown): value is OriginAnswer['versions'] {
	return (
		isObject(value) &&
		Object.values(value).every(
			(ages) => isObject(ages) && Object.values(ages).every(isAge),
		)
	);
}

/**
 * Decodes what a control instance answered about a stream; undefined if any part of
 * it can't be read, as what is left could prove another version.
 */
export function decodeOriginAnswer(value: unknown): OriginAnswer | undefined {
	if (!isObject(value)) {
		return undefined;
	}

	const {origin, beginning, isAmbiguous, knownForMs, versions} = value;
	return (origin === undefined || isOrigin(origin)) &&
		(beginning === undefined || isBeginning(beginning)) &&
		(isAmbiguous === undefined || typeof isAmbiguous === 'boolean') &&
		isAge(knownForMs) &&
		isVersions(versions)
		? (value as OriginAnswer)
		: undefined;
}
