import type {Clock} from '@lovagevalve/runtime';

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
	/** Sums the values of all counted entries except one, by key. */
	sumOthers: (entry: string) => Readonly<Record<string, Value>>;
}>;

/** Hundreds of entries report five times a second, and each receives the sums. */
const MAX_SUM_AGE_MS = 20;

/** Creates sums over the entries for which `isCounted` holds. */
export function createEntrySums<Value>(
	clock: Clock,
	isCounted: (entry: string) => boolean,
	{add, subtract, isZero}: Arithmetic<Value>,
): EntrySums<Value> {
	const byEntry = new Map<string, Readonly<Record<string, Value>>>();
	let summed: ReadonlyMap<string, Readonly<Record<string, Value>>> = new Map();
	let sums: Readonly<Record<string, Value>> = {};
	let summedAt = Number.NEGATIVE_INFINITY;

	const refresh = (): void => {
		summed = new Map([...byEntry].filter(([entry]) => isCounted(entry)));
		const next: Record<string, Value> = {};
		[...summed.values()]
			.flatMap((values) => Object.entries(values))
			.forEach(([key, value]) => {
				const sum = next[key];
				next[key] = sum === undefined ? value : add(sum, value);
			});
		sums = next;
		summedAt = clock.now();
	};

	return {
		set(entry, values) {
			byEntry.set(entry, values);
		},
		remove(entry) {
			byEntry.delete(entry);
		},
		sumOthers(entry) {
			if (clock.now() - summedAt >= MAX_SUM_AGE_MS) {
				refresh();
			}

			const own = summed.get(entry) ?? {};
			return Object.fromEntries(
				Object.entries(sums)
					.map(([key, sum]) => {
						const part = own[key];
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
