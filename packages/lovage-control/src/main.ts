#!/usr/bin/env node
import process from 'node:process';
import {
	createLogger,
	EXIT_CODES,
	installLogWriter,
	loadSettings,
	waitForStop,
} from '@lovagevalve/runtime';
import {command, option, run, string} from 'cmd-ts';
import {startControlProgram} from './program.js';
import {controlSettingsSchema} from './settings.js';

const app = command({
	name: 'lovage-control',
	description: 'Keeps the replicated state of the system on its disk.',
	args: {
		settings: option({
			type: string,
			long: 'settings',
			description: 'YAML file with the settings',
		}),
	},
	async handler({settings}) {
		const cfg = await loadSettings(settings, controlSettingsSchema);
		if (cfg.isErr()) {
			process.stderr.write(`${cfg.error.lines.join('\n')}\n`);
			process.exit(EXIT_CODES.invalidSettings);
		}

		installLogWriter(cfg.value.logLevel);
		const log = createLogger('control');
		const program = await startControlProgram(cfg.value, ({message}) => {
			log.error('The program stops.', {message});
			process.exit(EXIT_CODES.failure);
		});
		if (program.isErr()) {
			log.error('The program cannot start.', {message: program.error.message});
			process.exit(EXIT_CODES.failure);
		}

		log.info('Started.', {name: cfg.value.name, port: cfg.value.listen.port});
		process.exit(await waitForStop(log, program.value.stop));
	},
});

await run(app, process.argv.slice(2));
