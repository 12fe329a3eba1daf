import type {EntryEffect, Quarantine} from '@lovagevalve/entry-role';
import type {DeathsReport} from '@lovagevalve/wire';
import type {ControlGroupClient} from './control-group-client.js';

const REPORT_TIMEOUT_MS = 30_000;
const BATCH_DELAY_MS = 5;

type ReportEffect = Extract<
	EntryEffect,
	{kind: 'report-death' | 'report-completed'}
>;

/**
 * Reports deaths of backend servers and completed suspect requests in batches.
 */
export type DeathReporter = (effect: ReportEffect) => void;

/**
 * Creates the reporter that sends deaths and completed suspects to the control
 * group.
 */
export function createDeathReporter(
	entry: string,
	controlGroup: ControlGroupClient,
	onAcknowledged: (
		deaths: DeathsReport['deaths'],
		quarantine: Quarantine,
	) => void,
): DeathReporter {
	let batch: ReportEffect[] = [];

	const send = async (): Promise<void> => {
		const report: DeathsReport = {
			entry,
			deaths: batch.flatMap((effect) => {
				if (effect.kind !== 'report-death') {
					return [];
				}

				const {backend, incarnation, dataCentre, rack, digests} = effect;
				return [
					{backend, incarnation, dataCentre, rack, digests: [...digests]},
				];
			}),
			completed: batch.flatMap((effect) =>
				effect.kind === 'report-completed' ? [effect.digest] : [],
			),
		};
		batch = [];
		const answer = await controlGroup.call(
			async (client, signal) => client.reportDeaths.mutate(report, {signal}),
			REPORT_TIMEOUT_MS,
		);
		if (answer) {
			onAcknowledged(report.deaths, answer.quarantine);
		}
	};

	return (effect) => {
		batch.push(effect);
		if (batch.length === 1) {
			setTimeout(send, BATCH_DELAY_MS);
		}
	};
}
