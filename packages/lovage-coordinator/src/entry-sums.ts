import {readOwn} from '@lovagevalve/dispatch';

/** How values of several entries add up. */
export type Arithmetic<Value> = Readonly<{
	add: (a: Value, b: Value) => Value;
	subtract: (sum: Value, part: Value) => Value;
	isZero: (value: Value) => boolean;
}>;

/** Values by key that entries report, and their sums. */
export type EntrySums<Value> = Readonly<{
	set: (entry: string, values: Readonly<Record<string, Value>>) => void;
	remove: (entry: string) => void;
	/** Sums the values of all entries except one, by key. */
	sumOthers: (entry: string) => Readonly<Record<string, Value>>;
}>;

/**
 * Creates sums without any entries. They are kept up to date with each report:
 * hundreds of entries report five times a second, often at the same moment, and an
 * older sum would send the requests of all of them to the same backend server.
 */
export function createEntrySums<Value>({
	add,
	subtract,
	isZero,
}: Arithmetic<Value>): EntrySums<Value> {
	const byEntry = new Map<string, Readonly<Record<string, Value>>>();
	const sums = new Map<string, Value>();

	const setSum = (key: string, sum: Value): void => {
		if (isZero(sum)) {
			sums.delete(key);
		} else {
			sums.set(key, sum);
		}
	};

	const remove = (entry: string): void => {
		Object.entries(byEntry.get(entry) ?? {}).forEach(([key, part]) => {
			const sum = sums.get(key);
			if (sum !== undefined) {
				setSum(key, subtract(sum, part));
			}
		});
		byEntry.delete(entry);
	};

	return {
		set(entry, values) {
			remove(entry);
			byEntry.set(entry, values);
			Object.entries(values).forEach(([key, value]) => {
				const sum = sums.get(key);
				setSum(key, sum === undefined ? value : add(sum, value));
			});
		},
		remove,
		sumOthers(entry) {
			const own = byEntry.get(entry) ?? {};
			return Object.fromEntries(
				[...sums]
					.map(([key, sum]) => {
						const part = readOwn(own, key);
						return [
							key,
							part === undefined ? sum : subtract(sum, part),
						] as const;
					})
					.filter(([, others]) => !isZero(others)),
			);
		},
	};
}
