import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {expect, it} from 'vitest';
import {runGeneration} from '../../caller.js';
import type {Cluster} from '../../cluster.js';
import type {Member} from '../../member.js';
import {createCalls, createEngines, withCluster} from './helpers.js';

const EFFECT_MS = 2500;
/** JSON texts, as `JSON.stringify` can't write all of them. */
const ODD_VALUES = [
	'-1',
	'0.5',
	'1e300',
	'1e999',
	'9007199254740994',
	'null',
	'[]',
	'{}',
	'""',
	'"constructor"',
	'"__proto__"',
	String.raw`"a\u0000b\r\n"`,
	String.raw`"\u4e2d"`,
	'"http://127.0.0.1:80800"',
	'"http://127.0.0.1:0"',
	'"foo:bar"',
	'"127.0.0.1:9"',
	'{"__proto__":{"x":1}}',
	'['.repeat(500_000) + ']'.repeat(500_000),
];
const ODD_TARGETS = [
	'//',
	'//x:99999',
	'/rpc/',
	'/rpc/%zz',
	'/%00',
	'/rpc/a,b',
];
const MARKER = '@odd@';
const LOAD = {running: 0, waiting: 0, msPerToken: 20};

type Body = Readonly<Record<string, unknown>>;

/** Each text of a body in which one value is odd, and some that are cut. */
function listOddTexts(body: Body): readonly string[] {
	const sound = JSON.stringify(body);
	const replaceIn = (value: unknown): readonly unknown[] => [
		MARKER,
		...(Array.isArray(value)
			? value.flatMap((child: unknown, i) =>
					replaceIn(child).map((odd) => value.with(i, odd) as unknown),
				)
			: typeof value === 'object' && value !== null
				? Object.entries(value).flatMap(([key, child]) =>
						replaceIn(child).map((odd) => ({...value, [key]: odd})),
					)
				: []),
	];
	return [
		...replaceIn(body).flatMap((odd) => {
			const [before, after] = JSON.stringify(odd).split(JSON.stringify(MARKER));
			return ODD_VALUES.map((value) => `${before!}${value}${after!}`);
		}),
		sound.slice(0, sound.length / 2),
		'',
	];
}

/** Of an engine that isn't running, so that what is odd about it counts. */
const ANNOUNCEMENT = {
	id: 'lyric-04',
	service: 'lyric-analysis',
	dataCentre: 'london-d',
	rack: 'london-d-r1',
	address: 'http://127.0.0.1:9',
	incarnation: 1,
	sequence: 1,
	state: 'serving',
	capacity: 4,
	models: [{id: 'lyric-large', version: '2026.11', adapters: []}],
	load: LOAD,
};
const PLACE = {
	customer: 'odd',
	requestId: 'odd',
	digest: 'odd',
	generation: 'odd',
	attempt: 1,
	backend: 'lyric-01',
	entry: 'entry-1',
};
const CLAIM_KEY = {
	customer: 'odd',
	requestId: 'odd',
	attempt: 1,
	digest: 'odd',
	entry: 'entry-1',
	incarnation: 'odd',
	receivedAt: 1,
};
/** Of an old term, so that a sound one changes nothing. */
const MESSAGE = {
	group: 'odd',
	from: 'odd',
	to: 'odd',
	term: 0,
	kind: 'append',
	previousIndex: 0,
	previousTerm: 0,
	entries: [],
	commitIndex: 0,
	round: 0,
};
const ENTRY_BODIES: Readonly<Record<string, Body>> = {
	'/v1/backend-servers': ANNOUNCEMENT,
	'/v1/generations': {
		requestId: 'odd',
		service: 'lyric-analysis',
		model: 'lyric-large',
		prompt: 'odd',
		maxTokens: 2,
		deadlineMs: 500,
	},
	'/v1/calls': {
		requestId: 'odd',
		attempt: 1,
		service: 'licensing',
		operation: 'odd',
		deadlineMs: 500,
		body: {},
	},
	'/rpc/relayAnnouncements': {announcements: [ANNOUNCEMENT]},
	'/rpc/registerGeneration': PLACE,
	'/rpc/forgetGeneration': PLACE,
	'/rpc/releaseGeneration': {generation: 'odd'},
};
const CONTROL_BODIES: Readonly<Record<string, Body>> = {
	'/rpc/deliver': {from: 'http://127.0.0.1:9', messages: [MESSAGE]},
	'/rpc/renewLease': {
		entry: {
			id: 'entry-odd',
			address: 'http://127.0.0.1:9',
			dataCentre: 'london-a',
			state: 'leaving',
			incarnation: 'odd',
		},
		appliedVersion: 0,
		quarantineVersion: 0,
		backends: [
			{
				id: 'lyric-04',
				service: 'lyric-analysis',
				address: 'http://127.0.0.1:9',
				incarnation: 1,
				state: 'serving',
				models: [],
			},
		],
	},
	'/rpc/openClaim': CLAIM_KEY,
	'/rpc/refuseClaim': CLAIM_KEY,
	'/rpc/settleClaim': {
		claim: 'odd',
		customer: 'odd',
		requestId: 'odd',
		outcome: {kind: 'unknown'},
	},
	'/rpc/reportDeaths': {
		entry: 'entry-odd',
		deaths: [
			{
				backend: 'odd',
				incarnation: 1,
				dataCentre: 'london-a',
				digests: ['odd'],
			},
		],
		completed: [],
	},
};

async function send(
	url: string,
	body: string,
	key: string,
): Promise<number | undefined> {
	try {
		const res = await request(url, {
			method: 'POST',
			headers: {
				'content-type': 'application/json',
				authorization: `Bearer ${key}`,
			},
			body,
			signal: AbortSignal.timeout(1500),
		});
		await res.body.dump();
		return res.statusCode;
	} catch {
		// Only what the programs do then is checked.
		return undefined;
	}
}

async function sendAll(
	{address}: Member,
	bodies: Readonly<Record<string, Body>>,
	key: string,
): Promise<void> {
	const posts = Object.entries(bodies).map(async ([path, body]) => {
		const url = `${address}${path}`;
		// Otherwise, all that follow are refused for the same field.
		expect({
			path,
			status: await send(url, JSON.stringify(body), key),
		}).not.toEqual({path, status: 400});
		for (const [i, text] of listOddTexts(body).entries()) {
			const newest = text
				.replace('"sequence":1,', `"sequence":${i + 2},`)
				.replace('"requestId":"odd"', `"requestId":"odd-${i}"`);
			// eslint-disable-next-line no-await-in-loop -- one at a time for each path
			await send(url, newest, key);
		}
	});
	const targets = ODD_TARGETS.map(async (target) =>
		send(`${address}${target}`, '{}', key),
	);
	await Promise.all([...posts, ...targets]);
}

function listEnded({controls, entries}: Cluster): readonly string[] {
	return [...controls, ...entries]
		.filter(({getProgram}) => !getProgram().isRunning())
		.map(({name, getProgram}) => {
			const lines = getProgram().readOutput().trim().split('\n');
			return `${name}: ${lines.at(-1)!.slice(0, 600)}`;
		});
}

it('lives on under odd values at its listeners, and serves', async () => {
	await withCluster({backends: createEngines(3)}, async (cluster) => {
		const key = Object.values(cluster.example.customerKeys)[0]!;
		await Promise.all([
			sendAll(cluster.entries[0]!, ENTRY_BODIES, key),
			sendAll(cluster.controls[0]!, CONTROL_BODIES, key),
		]);
		await sleep(EFFECT_MS);
		expect(listEnded(cluster)).toEqual([]);
		const [call] = createCalls(cluster, 1, {requestId: 'sound'});
		const transcript = await runGeneration(call!);
		expect(transcript).toMatchObject({outcome: 'whole'});
	});
});
