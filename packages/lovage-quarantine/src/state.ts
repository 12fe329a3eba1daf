import type {QuarantineOptions, QuarantineState} from './types.js';

/** Options of deployments without their own. */
export const DEFAULT_QUARANTINE_OPTIONS: QuarantineOptions = {
	windowMs: 8000,
	eventMs: 300,
	strikes: 3,
	lead: 2,
	suspectRetentionMs: 3_600_000,
	convictionRetentionMs: 86_400_000,
	maxRecords: 10_000,
	guards: {
		relatedDeaths: true,
		standsOut: true,
		mergeReports: true,
		countEvents: true,
		clearCompleted: true,
	},
};

/** Creates a quarantine without deaths. */
export function createQuarantine(
	options: QuarantineOptions = DEFAULT_QUARANTINE_OPTIONS,
): QuarantineState {
	return {options, version: 1, now: 0, deaths: [], records: {}, convicted: {}};
}
