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
import {startEntryProgram} from './program.js';
import {entrySettingsSchema} from './settings.js';

const app = command({
	name: 'lovage-entry',
	description: 'Serves callers and places their work on backend servers.',
	args: {
		settings: option({
			type: string,
			long: 'settings',
			description: 'YAML file with the settings',
		}),
	},
	async handler({settings}) {
		const cfg = await loadSettings(settings, entrySettingsSchema);
		if (cfg.isErr()) {
			process.stderr.write(`${cfg.error.lines.join('\n')}\n`);
			process.exit(EXIT_CODES.invalidSettings);
		}

		installLogWriter(cfg.value.logLevel);
		const log = createLogger('entry');
		const program = await startEntryProgram(cfg.value, () => {
			process.exit(EXIT_CODES.failure);
		});
		log.info('Started.', {id: cfg.value.id, port: cfg.value.listen.port});
		const code = await Promise.race([
			waitForStop(log, program.drain),
			program.stopped,
		]);
		process.exit(code);
	},
});

await run(app, process.argv.slice(2));
