#!/usr/bin/env node
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {command, number, option, run, string} from 'cmd-ts';
import {runGeneration} from './caller.js';
import {verifyTranscript} from './tokens.js';

const caller = command({
	name: 'lovage-fake-caller',
	description: 'Development fake of a caller that streams one generation.',
	args: {
		entries: option({
			long: 'entries',
			type: string,
			description: 'comma-separated base URLs of entries',
		}),
		key: option({long: 'key', type: string}),
		service: option({long: 'service', type: string}),
		prompt: option({long: 'prompt', type: string}),
		maxTokens: option({
			long: 'max-tokens',
			type: number,
			defaultValue: () => 64,
		}),
		requestId: option({
			long: 'request-id',
			type: string,
			defaultValue: () => randomUUID(),
		}),
	},
	async handler({entries, ...call}) {
		const transcript = await runGeneration({
			...call,
			entries: entries.split(','),
		});
		const verified = verifyTranscript(call.prompt, transcript.tokens);
		process.stdout.write(
			`${JSON.stringify({...transcript, verified}, undefined, '\t')}\n`,
		);
		process.exitCode = transcript.outcome === 'whole' && verified ? 0 : 1;
	},
});

await run(caller, process.argv.slice(2));
