import type {EntryEffect, Quarantine} from '@lovagevalve/entry-role';
import type {DeathsReport} from '@lovagevalve/wire';
import type {ControlLink} from './control-link.js';

const REPORT_WITHIN_MS = 30_000;
const GATHER_MS = 5;

type ReportEffect = Extract<
	EntryEffect,
	{kind: 'report-death' | 'report-completed'}
>;

/** Gathers deaths and completed suspects and reports them together. */
export type DeathsLink = (effect: ReportEffect) => void;

/** Creates the link of an entry to the quarantine of the control group. */
export function createDeathsLink(
	entry: string,
	link: ControlLink,
	onAcknowledged: (
		deaths: DeathsReport['deaths'],
		quarantine: Quarantine,
	) => void,
): DeathsLink {
	let gathered: ReportEffect[] = [];

	const send = async (): Promise<void> => {
		const report: DeathsReport = {
			entry,
			deaths: gathered.flatMap((effect) => {
				if (effect.kind !== 'report-death') {
					return [];
				}

				const {backend, incarnation, dataCentre, rack, digests} = effect;
				return [
					{backend, incarnation, dataCentre, rack, digests: [...digests]},
				];
			}),
			completed: gathered.flatMap((effect) =>
				effect.kind === 'report-completed' ? [effect.digest] : [],
			),
		};
		gathered = [];
		const answer = await link.ask(
			async (client, signal) => client.reportDeaths.mutate(report, {signal}),
			REPORT_WITHIN_MS,
		);
		if (answer) {
			onAcknowledged(report.deaths, answer.quarantine);
		}
	};

	return (effect) => {
		gathered.push(effect);
		if (gathered.length === 1) {
			setTimeout(send, GATHER_MS);
		}
	};
}
