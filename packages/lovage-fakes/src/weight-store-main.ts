#!/usr/bin/env node
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {command, number, option, run} from 'cmd-ts';
import {Hono} from 'hono';
import {listen} from './listen.js';

const store = command({
	name: 'lovage-fake-weight-store',
	description:
		'Development fake of a weight store that limits concurrent loads.',
	args: {
		port: option({long: 'port', type: number, defaultValue: () => 0}),
		parallelLoads: option({
			long: 'parallel-loads',
			type: number,
			defaultValue: () => 2,
		}),
		loadMs: option({long: 'load-ms', type: number, defaultValue: () => 500}),
	},
	async handler({port, parallelLoads, loadMs}) {
		let running = 0;
		const app = new Hono();
		app.get('/weights/:model/:version', async (ctx) => {
			if (running >= parallelLoads) {
				return ctx.json({title: 'too many loads'}, 429, {'retry-after': '1'});
			}

			running += 1;
			await delay(loadMs);
			running -= 1;
			return ctx.json({model: ctx.req.param('model'), loaded: true});
		});
		await listen(app, port);
	},
});

await run(store, process.argv.slice(2));
