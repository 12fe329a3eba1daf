#!/usr/bin/env node
import process from 'node:process';
import {command, number, oneOf, option, optional, run, string} from 'cmd-ts';
import {createAnnouncer} from './announcer.js';
import {createBatch} from './batch.js';
import {leaveOnSignal} from './departure.js';
import {createEngineApp} from './engine-app.js';
import {listen} from './listen.js';
import type {Equipment, LoadedModel} from './orders.js';
import {createPrefixCache} from './prefix-cache.js';
import {createRecordWriter} from './run-record.js';

function text(long: string, initial: string) {
	return option({long, type: string, defaultValue: () => initial});
}

function count(long: string, initial: number) {
	return option({long, type: number, defaultValue: () => initial});
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
		port: count('port', 0),
		announce: text('announce', ''),
		models: text('models', ''),
		capacity: count('capacity', 16),
		msPerToken: count('ms-per-token', 20),
		slowdownShare: count('slowdown-share', 0.02),
		prefillMsPerKb: count('prefill-ms-per-kb', 2),
		cacheSize: count('cache-size', 64),
		progressEvery: count('progress-every', 8),
		holdMs: count('hold-ms', 30_000),
		lingerMs: count('linger-ms', 3000),
		fencing: option({
			long: 'fencing',
			type: oneOf(['check', 'ignore'] as const),
			defaultValue: () => 'check' as const,
		}),
		crashOn: option({long: 'crash-on', type: optional(string)}),
		/** Announced in place of the own address, such as a relay's. */
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
		let equipment: Equipment = {
			models: splitList(args.models).map(parseModel),
			fencing: 0,
		};
		const app = createEngineApp({
			batch,
			record,
			checksFencing: args.fencing === 'check',
			readEquipment: () => equipment,
			writeEquipment(next) {
				equipment = next;
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
			role: equipment.role,
			models: equipment.models.map((model) => ({
				...model,
				adapters: [...model.adapters],
			})),
			load: batch.load(),
			cacheEvents: [...cache.takeChanges()],
		});
		const announcer = createAnnouncer(splitList(args.announce), describe);
		leaveOnSignal({
			onLeave() {
				record({kind: 'leaving'});
				announcer.leave();
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
