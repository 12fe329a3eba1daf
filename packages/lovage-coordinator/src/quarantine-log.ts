import {createIncarnationKey, readOwn} from '@lovagevalve/dispatch';
import {
	listJudgedEvents,
	type QuarantineState,
	type ReportedDeath,
} from '@lovagevalve/quarantine';
import type {Logger} from '@lovagevalve/runtime';

/** Causes that were convicted before and after a step of the quarantine. */
export type ConvictionChange = Readonly<{
	before: readonly string[];
	after: readonly string[];
}>;

/** Limit of the events in the log for one report, and of the servers of one. */
const MAX_LOGGED_EVENTS = 4;
const MAX_LOGGED_SERVERS = 16;

function describeCause(
	{deaths}: QuarantineState,
	key: string,
): Readonly<{crashes: number; backends: string}> {
	const guilty = deaths.filter(
		({digests, parts = {}}) =>
			digests.includes(key) || Object.hasOwn(parts, key),
	);
	return {
		crashes: guilty.length,
		backends: guilty
			.map(({backend, incarnation}) =>
				createIncarnationKey({id: backend, bornAt: incarnation}),
			)
			.join(' '),
	};
}

/** Logs the deaths that an entry reported. */
export function logReportedDeaths(
	log: Logger,
	entry: string,
	deaths: readonly ReportedDeath[],
): void {
	deaths.forEach(({backend, incarnation, digests, parts = {}}) => {
		log.warn('An entry reported a crash.', {
			entry,
			backend,
			bornAt: incarnation,
			digest: digests.join(' '),
			parts: Object.keys(parts).join(' '),
		});
	});
}

/** Logs the last events that a step of the quarantine judged. */
export function logJudgedEvents(
	log: Logger,
	before: QuarantineState,
	after: QuarantineState,
): void {
	listJudgedEvents(before, after)
		.slice(-MAX_LOGGED_EVENTS)
		.forEach(({deaths, startedAt, spanMs, suspect = '', ...verdict}) => {
			log.info('Judged an event in which backend servers died.', {
				event: Math.round(startedAt),
				ageMs: Math.round(after.now - startedAt),
				spanMs: Math.round(spanMs),
				died: deaths.length,
				backends: deaths
					.slice(0, MAX_LOGGED_SERVERS)
					.map(({backend, incarnation}) =>
						createIncarnationKey({id: backend, bornAt: incarnation}),
					)
					.join(' '),
				suspect,
				...verdict,
			});
		});
}

/** Logs the convictions that began or ended in a step to the given state. */
export function logConvictions(
	log: Logger,
	state: QuarantineState,
	{before, after}: ConvictionChange,
): void {
	after
		.filter((key) => !before.includes(key))
		.forEach((key) => {
			log.warn('Quarantined a cause of crashes.', {
				cause: key,
				hasLead: readOwn(state.convicted, key) !== undefined,
				...describeCause(state, key),
			});
		});
	before
		.filter((key) => !after.includes(key))
		.forEach((key) => {
			log.info('A quarantine ended.', {cause: key});
		});
}
