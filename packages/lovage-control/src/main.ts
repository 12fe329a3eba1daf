#!/usr/bin/env node
import {runDaemon} from '@lovagevalve/runtime';
import {startControlProgram} from './program.js';
import {controlSettingsSchema} from './settings.js';

await runDaemon({
	name: 'lovage-control',
	part: 'control',
	description: 'Keeps the replicated state of the system on its disk.',
	schema: controlSettingsSchema,
	start: startControlProgram,
});
