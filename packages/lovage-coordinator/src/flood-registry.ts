import {
	applyTelling,
	type BackendRecord,
	describeTold,
	type FloodReports,
	type ToldFloods,
} from '@lovagevalve/dispatch';
import type {Clock, Logger} from '@lovagevalve/runtime';

/** Flooding backend servers as the entries that met them report. */
export type FloodRegistry = Readonly<{
	applyReport: (entry: string, floods: FloodReports) => void;
	/** Describes for an entry the floods that others met. */
	describe: (entry: string) => FloodReports;
}>;

/** Creates a registry without any floods. */
export function createFloodRegistry(
	{clock, log}: Readonly<{clock: Clock; log: Logger}>,
	find: (id: string) => BackendRecord | undefined,
): FloodRegistry {
	let told: ToldFloods = new Map();

	return {
		applyReport(entry, floods) {
			const before = told;
			const now = clock.now();
			told = applyTelling(before, {teller: entry, floods}, find, now);
			[...told]
				.filter(([key]) => !before.has(key))
				.forEach(([backend, {teller, at}]) => {
					log.warn('An entry reported a flooding backend server.', {
						backend,
						entry: teller,
						ageMs: Math.round(now - at),
					});
				});
		},
		describe: (entry) => describeTold(told, entry, clock.now()),
	};
}
