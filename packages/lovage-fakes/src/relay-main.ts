#!/usr/bin/env node
import process from 'node:process';
import {command, number, option, run} from 'cmd-ts';
import {startRelay} from './relay.js';

const relay = command({
	name: 'lovage-bare-relay',
	description:
		'Relays TCP to a port on loopback, as the baseline of the bench.',
	args: {target: option({long: 'target', type: number})},
	async handler({target}) {
		const {port} = await startRelay(target);
		process.stdout.write(`${JSON.stringify({port})}\n`);
	},
});

await run(relay, process.argv.slice(2));
