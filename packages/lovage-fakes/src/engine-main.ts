#!/usr/bin/env node
import process from 'node:process';
import {command, number, oneOf, option, optional, run, string} from 'cmd-ts';
import {createAnnouncer} from './announcer.js';
import {createBatch} from './batch.js';
import {shutDownOnSignal} from './graceful-shutdown.js';
import {createEngineApp} from './engine-app.js';
import {listen} from './listen.js';
import type {BackendState, LoadedModel} from './orders.js';
import {createPrefixCache} from './prefix-cache.js';
import {createRecordWriter} from './run-record.js';

function stringOption(long: string, defaultValue: string) {
	return option({long, type: string, defaultValue: () => defaultValue});
}

function numberOption(long: string, defaultValue: number) {
	return option({long, type: number, defaultValue: () => defaultValue});
}

function splitList(value: string): readonly string[] {
	return value.split(',').filter((part) => part !== '');
}

function parseModel(value: string): LoadedModel {
	const [id, version] = value.split(':');
	return {id: id!, version: version ?? '1', adapters: []};
}

const engine = command({
	name: 'lovage-fake-engine',
	description: 'Development fake of a model engine.',
	args: {
		id: option({long: 'id', type: string}),
		service: option({long: 'service', type: string}),
		dataCentre: option({long: 'data-centre', type: string}),
		rack: option({long: 'rack', type: optional(string)}),
		port: numberOption('port', 0),
		announce: stringOption('announce', ''),
		models: stringOption('models', ''),
		capacity: numberOption('capacity', 16),
		msPerToken: numberOption('ms-per-token', 20),
		slowdownShare: numberOption('slowdown-share', 0.02),
		prefillMsPerKb: numberOption('prefill-ms-per-kb', 2),
		cacheSize: numberOption('cache-size', 64),
		progressEvery: numberOption('progress-every', 8),
		holdMs: numberOption('hold-ms', 30_000),
		lingerMs: numberOption('linger-ms', 3000),
		fencing: option({
			long: 'fencing',
			type: oneOf(['check', 'ignore'] as const),
			defaultValue: () => 'check' as const,
		}),
		crashOn: option({long: 'crash-on', type: optional(string)}),
		/** Announced in place of the listening address, for example that of a relay. */
		address: option({long: 'address', type: optional(string)}),
		logFile: option({long: 'log-file', type: optional(string)}),
	},
	async handler(args) {
		const record = createRecordWriter(args.id, args.logFile);
		const cache = createPrefixCache(args.cacheSize);
		const batch = createBatch({
			...args,
			record,
			cache,
			onStart({prompt}) {
				if (args.crashOn !== undefined && prompt.includes(args.crashOn)) {
					process.kill(process.pid, 'SIGKILL');
				}
			},
		});
		let state: BackendState = {
			models: splitList(args.models).map(parseModel),
			fencing: 0,
		};
		const app = createEngineApp({
			batch,
			record,
			checksFencing: args.fencing === 'check',
			getState: () => state,
			setState(next) {
				state = next;
			},
		});
		const {port} = await listen(app, args.port);
		const describe = () => ({
			id: args.id,
			service: args.service,
			dataCentre: args.dataCentre,
			rack: args.rack,
			address: args.address ?? `http://127.0.0.1:${port}`,
			capacity: args.capacity,
			role: state.role,
			models: state.models.map((model) => ({
				...model,
				adapters: [...model.adapters],
			})),
			load: batch.load(),
			cacheEvents: [...cache.drainChanges()],
		});
		const announcer = createAnnouncer(splitList(args.announce), describe);
		shutDownOnSignal({
			onShutdown() {
				record({kind: 'leaving'});
				announcer.announceLeaving();
			},
			isIdle() {
				const {running, waiting} = batch.load();
				return running + waiting === 0;
			},
			lingerMs: args.lingerMs,
		});
	},
});

await run(engine, process.argv.slice(2));
