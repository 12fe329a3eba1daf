/**
 * Looks a text from outside up in a record. What all objects have, such as
 * `constructor`, is unknown there unless the record itself holds it.
 */
export function readOwn<T>(
	record: Readonly<Record<string, T>>,
	key: string,
): T | undefined {
	return Object.hasOwn(record, key) ? record[key] : undefined;
}
