import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {
	applyRolloutCommand,
	EMPTY_ROLLOUTS,
	judgeOrder,
	type RolloutCommand,
	type RolloutState,
} from '@lovagevalve/rollout';
import {afterEach, expect, test} from 'vitest';
import {runCommandLine} from '../../run-command-line.js';
import {createTestHost} from './fake-group.js';

type Order = Extract<RolloutCommand, {kind: 'rollout-order'}>;
type Sent = Omit<Order, 'kind'>;

const servers: Server[] = [];

afterEach(() => {
	servers.splice(0).forEach((server) => {
		server.close();
		server.closeAllConnections();
	});
});

/** Serves a control instance's calls; one without an answer ends its connection. */
async function serveInstance(
	handle: (path: string, body: unknown) => unknown,
): Promise<string> {
	const server = createServer(async (req, res) => {
		const answer = handle(req.url!, await json(req));
		if (answer === undefined) {
			req.socket.destroy();
		} else {
			res.end(JSON.stringify(answer));
		}
	}).listen(0, '127.0.0.1');
	servers.push(server);
	await once(server, 'listening');
	return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function run(args: string, ...controls: readonly string[]) {
	const {host, results} = createTestHost();
	const addresses = controls.flatMap((address) => ['--control', address]);
	const code = await runCommandLine(
		['rollout', ...args.split(' '), ...addresses],
		host,
	);
	return {code, results};
}

// Guards against an order that is given up, or refused as a conflict with itself,
// after its acknowledgement was lost.
test('an order whose acknowledgement was lost is acknowledged by the next instance', async () => {
	let state: RolloutState = EMPTY_ROLLOUTS;
	const judged: string[] = [];
	const commit = (path: string, body: unknown) => {
		const command: Order = {kind: 'rollout-order', ...(body as Sent)};
		const outcome = judgeOrder(state, command);
		judged.push(`${path} ${outcome}`);
		state = applyRolloutCommand(state, command);
		return {outcome: outcome === 'conflicting' ? outcome : 'acknowledged'};
	};

	const first = await serveInstance((path, body) => {
		commit(path, body);
		return undefined;
	});
	const next = await serveInstance(commit);
	const started = await run(
		'start s --to v2 --duration-s 12 --json',
		first,
		next,
	);
	expect(started.code).toBe(0);
	expect(JSON.parse(started.results[0]!)).toMatchObject({acknowledged: true});
	expect(judged).toEqual(['/rollout accepted', '/rollout repeated']);
	expect(state.get('s')?.order).toMatchObject({to: 'v2', durationMs: 12_000});
});

test.each([
	['succeeded', 0],
	['reverted', 1],
] as const)('watch ends with %s and exit code %i', async (stage, code) => {
	const answers = [
		{kind: 'found', order: {to: 'v2', stage: 'running'}},
		{kind: 'unavailable'},
		{kind: 'found', order: {to: 'v2', stage}},
	];
	const address = await serveInstance(() => answers.shift());
	expect(await run('watch s', address)).toEqual({
		code,
		results: [`roll-out of s to v2 ${stage}`],
	});
});

// Exit code 1 would tell a script that the version was reverted.
test('watch exits with 2 if no instance answers, start with 5', async () => {
	const address = await serveInstance(() => undefined);
	expect(await run('watch s', address)).toMatchObject({code: 2});
	const start = 'start s --to v2 --duration-s 12';
	expect(await run(start, address)).toMatchObject({code: 5});
});
