import type {Configuration} from '@lovagevalve/inventory';
import {
	readConfigurationFiles,
	type ConfigurationFiles,
} from './configuration-files.js';
import {createOutput, type CommandResult} from './outcome.js';

function countItems({inventory, rules}: Configuration) {
	return {
		dataCentres: inventory.dataCentres.length,
		services: inventory.services.length,
		workers: inventory.services.flatMap(({workers}) => workers).length,
		customers: inventory.customers.length,
		operators: inventory.operators.length,
		nonIdempotent: rules.nonIdempotent.length,
		priorities: rules.priorities.length,
		objectives: rules.objectives.length,
	};
}

/** Validates the files without contacting the control group. */
export async function validate(
	files: ConfigurationFiles,
): Promise<CommandResult> {
	const cfg = await readConfigurationFiles(files);
	return cfg.andThen((read) => {
		const counts = countItems(read);
		return createOutput(
			[
				`${read.inventory.name} is valid: ${counts.dataCentres} data centres, ${counts.services} services, ${counts.workers} workers, ${counts.customers} customers`,
			],
			{valid: true, name: read.inventory.name, counts},
		);
	});
}
