#!/usr/bin/env node
import {runDaemon} from '@lovagevalve/runtime';
import {ok} from 'neverthrow';
import {startEntryProgram} from './program.js';
import {entrySettingsSchema} from './settings.js';

await runDaemon({
	name: 'lovage-entry',
	part: 'entry',
	description: 'Serves callers and places their work on backend servers.',
	schema: entrySettingsSchema,
	start: async (cfg, giveUp) => ok(await startEntryProgram(cfg, giveUp)),
});
