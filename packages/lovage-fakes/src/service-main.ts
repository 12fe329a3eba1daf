#!/usr/bin/env node
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {backendCallSchema, type BackendCall} from '@lovagevalve/wire';
import {command, number, option, optional, run, string} from 'cmd-ts';
import {Hono} from 'hono';
import {createAnnouncer} from './announcer.js';
import {shutDownOnSignal} from './graceful-shutdown.js';
import {listen} from './listen.js';
import {createRecordWriter, type RecordWriter} from './run-record.js';

type ServiceAppOptions = Readonly<{
	delayMs: number;
	record: RecordWriter;
	addRunning: (by: number) => void;
	getRunning: () => number;
}>;

async function executeCall(
	{requestId, customer, operation, body}: BackendCall,
	options: ServiceAppOptions,
): Promise<unknown> {
	options.addRunning(1);
	options.record({kind: 'called', requestId, customer, operation});
	await delay(options.delayMs);
	options.addRunning(-1);
	return {requestId, operation, echo: body};
}

function createServiceApp(options: ServiceAppOptions): Hono {
	const app = new Hono();
	app.post('/v1/calls', async (ctx) => {
		const call = backendCallSchema.safeParse(await ctx.req.json());
		return call.success
			? ctx.json(await executeCall(call.data, options))
			: ctx.json({title: call.error.message}, 400);
	});
	app.get('/v1/load', (ctx) =>
		ctx.json({running: options.getRunning(), waiting: 0}),
	);
	return app;
}

const service = command({
	name: 'lovage-fake-service',
	description: 'Development fake of a plain service.',
	args: {
		id: option({long: 'id', type: string}),
		service: option({long: 'service', type: string}),
		dataCentre: option({long: 'data-centre', type: string}),
		rack: option({long: 'rack', type: optional(string)}),
		port: option({long: 'port', type: number, defaultValue: () => 0}),
		announce: option({long: 'announce', type: string, defaultValue: () => ''}),
		capacity: option({long: 'capacity', type: number, defaultValue: () => 64}),
		delayMs: option({long: 'delay-ms', type: number, defaultValue: () => 5}),
		lingerMs: option({
			long: 'linger-ms',
			type: number,
			defaultValue: () => 3000,
		}),
		/** Announced in place of the listening address, for example that of a relay. */
		address: option({long: 'address', type: optional(string)}),
		logFile: option({long: 'log-file', type: optional(string)}),
	},
	async handler(args) {
		const record = createRecordWriter(args.id, args.logFile);
		let running = 0;
		const app = createServiceApp({
			delayMs: args.delayMs,
			record,
			addRunning(by) {
				running += by;
			},
			getRunning: () => running,
		});
		const {port} = await listen(app, args.port);
		const entries = args.announce.split(',').filter((entry) => entry !== '');
		const describe = () => ({
			id: args.id,
			service: args.service,
			dataCentre: args.dataCentre,
			rack: args.rack,
			address: args.address ?? `http://127.0.0.1:${port}`,
			capacity: args.capacity,
			models: [],
			load: {running, waiting: 0},
			cacheEvents: [],
		});
		const announcer = createAnnouncer(entries, describe);
		shutDownOnSignal({
			onShutdown() {
				record({kind: 'leaving'});
				announcer.announceLeaving();
			},
			isIdle: () => running === 0,
			lingerMs: args.lingerMs,
		});
	},
});

await run(service, process.argv.slice(2));
