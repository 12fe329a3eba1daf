import {err, ok, type Result} from 'neverthrow';

/** An object of JSON; read a member whose name comes from outside with `readOwn`. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Parses JSON; an error says why it can't be read. */
export function parseJson(text: string): Result<unknown, string> {
	try {
		return ok(JSON.parse(text) as unknown);
	} catch (error) {
		return err(error instanceof Error ? error.message : String(error));
	}
}

/** Serializes as JSON; fails for what is nested too deep. */
export function serializeJson(value: unknown): Result<string, string> {
	try {
		return ok(JSON.stringify(value));
	} catch (error) {
		return err(error instanceof Error ? error.message : String(error));
	}
}

/** Whether a value is an object of JSON and no list. */
export function isJsonObject(value: unknown): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Whether a value is a whole number from 0 that a number holds exactly. */
export function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Whether a value is a number, and neither infinite nor NaN. */
export function isFigure(value: unknown): value is number {
	return Number.isFinite(value);
}

/** Whether a value is a text with at least one character. */
export function isNonEmptyText(value: unknown): value is string {
	return typeof value === 'string' && value !== '';
}

/** Whether a value is absent; JSON writes numbers that it can't hold as null. */
export function isAbsent(value: unknown): value is undefined {
	return value === undefined || value === null;
}

/** Whether all members of an object pass a check; cheap for objects of thousands. */
export function isRecordOf<Value>(
	value: unknown,
	isValue: (member: unknown) => member is Value,
): value is Readonly<Record<string, Value>> {
	return isJsonObject(value) && Object.values(value).every(isValue);
}

/** Whether a value is a list whose members pass a check. */
export function isListOf<Value>(
	value: unknown,
	isValue: (member: unknown) => member is Value,
): value is readonly Value[] {
	return Array.isArray(value) && value.every(isValue);
}
