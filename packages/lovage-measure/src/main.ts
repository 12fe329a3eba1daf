import process from 'node:process';
import {writeFileSync} from 'node:fs';
import {command, number, option, optional, run, string} from 'cmd-ts';
import {listRows, type Row} from './plan.js';
import {runScenario} from './run.js';
import {summarise, type Summary} from './summary.js';
import {formatDetails, formatTable} from './table.js';

const DEFAULT_SEEDS = 20;
const FIRST_SEED = 1;

function measure({deployment, fault, variant}: Row, seeds: number): Summary {
	const names = {
		deployment: deployment.name,
		fault,
		variant: variant.name,
	};
	const results = Array.from({length: seeds}, (_, i) =>
		runScenario({deployment, fault, variant, seed: FIRST_SEED + i}),
	);
	return summarise(names, results);
}

const main = command({
	name: 'measure',
	description:
		'Measures the decision functions in virtual time with fixed seeds.',
	args: {
		seeds: option({
			long: 'seeds',
			type: number,
			defaultValue: () => DEFAULT_SEEDS,
			description: 'number of runs for each row, each with its own seed',
		}),
		json: option({
			long: 'json',
			type: optional(string),
			description: 'file to write the figures to as JSON',
		}),
		fault: option({
			long: 'fault',
			type: optional(string),
			description: 'measure only this fault',
		}),
	},
	handler({seeds, json, fault}) {
		const summaries = listRows()
			.filter((row) => fault === undefined || row.fault === fault)
			.map((row) => measure(row, seeds));
		if (json !== undefined) {
			writeFileSync(json, `${JSON.stringify(summaries, null, '\t')}\n`);
		}

		process.stdout.write(
			`${formatTable(summaries)}\n\n${formatDetails(summaries)}\n`,
		);
	},
});

await run(main, process.argv.slice(2));
