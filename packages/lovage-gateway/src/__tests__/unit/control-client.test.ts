import type {ControlReport, EntryReport} from '@lovagevalve/dispatch';
import type {PeerClient} from '@lovagevalve/runtime';
import {ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {createControlClient, type ControlClient} from '../../control-client.js';
import {createTaskGuard} from '../../guard.js';
import {silentLogger, silentMetrics} from '../integration/harness.js';

const PARTS = 20;
const SEEDS = ['10.0.0.1:1', '10.0.0.2:1'];

/** Answers with one part of the backend servers at a time. */
function answerInParts({known}: EntryReport): ControlReport {
	const revision = (known?.revision ?? 0) + 1;
	return {
		version: 0,
		controls: SEEDS,
		entries: 1,
		known: {epoch: 1, revision},
		backends: [],
		convicted: [],
		...(revision < PARTS ? {hasMore: true} : {}),
	};
}

/** Creates a client of the control instances at the seeds. */
function createClient(client: PeerClient): ControlClient {
	return createControlClient({
		clock: {now: () => 0, wall: () => 0},
		log: silentLogger,
		client,
		readSeeds: () => SEEDS,
		createReport: () => ({
			entry: 'entry-1',
			address: '10.0.1.1:80',
			dataCentre: 'a',
			standing: 'starting',
			version: 0,
			loads: {},
			retries: {},
			crashes: [],
		}),
		createOriginsUpdate: (after) => ({origins: [], sequence: after}),
		createAgesRequest: () => ({wantsAges: false}),
		createSpeedsUpdate: () => ({}),
		onReport: () => undefined,
		onConfiguration: () => undefined,
		guard: createTaskGuard({log: silentLogger, metrics: silentMetrics}),
	});
}

it('an entry that starts receives all parts of the backend servers at once from the primary control instance', async () => {
	const revisions = new Map<string, number[]>();
	const client: PeerClient = {
		async call<T>(address: string, _path: string, body: unknown) {
			const answer = answerInParts(body as EntryReport);
			const received = revisions.get(address) ?? [];
			revisions.set(address, [...received, answer.known.revision]);
			return ok(answer as T);
		},
		close: () => undefined,
	};
	const controlClient = createClient(client);
	controlClient.report();
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
	const [primary, other] = SEEDS.map((address) => revisions.get(address));
	expect(primary).toEqual(Array.from({length: PARTS}, (_, i) => i + 1));
	expect(other).toEqual([1]);
});

// An answer that couldn't be read ended the entry, or passed for one that knows no origin.
describe('a control instance that answers about a stream with', () => {
	const sound = {knownForMs: 1, versions: {model: {v1: 5}}};

	async function lookUp(answer: unknown) {
		const client: PeerClient = {
			call: async <T>() => ok(answer as T),
			close: () => undefined,
		};
		const query = {key: 'k', services: ['model']};
		const {answers} = await createClient(client).lookUpOrigin(query);
		return answers;
	}

	it.each([
		null,
		5,
		'silent',
		[],
		{},
		{...sound, origin: 5},
		{...sound, origin: {service: 'model'}},
		{...sound, versions: null},
		{...sound, versions: {model: {v1: '5'}}},
		{...sound, knownForMs: null},
		{...sound, beginning: {incarnation: 'e-1/5'}},
		{...sound, isAmbiguous: 'no'},
	])('%j is not believed', async (answer) => {
		expect(await lookUp(answer)).toEqual([]);
	});

	it.each([
		sound,
		{...sound, origin: {service: 'model', softwareVersion: 'v1'}},
		{...sound, beginning: {incarnation: 'e-1/5', at: 7}, isAmbiguous: true},
		{...sound, versions: {}, more: 1},
	])('%j is believed', async (answer) => {
		expect(await lookUp(answer)).toContainEqual(answer);
	});
});
