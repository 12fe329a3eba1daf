import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {callRpc, createControlClient, createRpcPool} from '../../client.js';

describe('callRpc', () => {
	it('accepts a fractional timeout, such as the rest of a deadline', async () => {
		const answer = await callRpc(async () => 'done', 651.823_177);
		expect(answer._unsafeUnwrap()).toBe('done');
	});

	it('fails at the deadline when the server does not respond', async () => {
		const answer = await callRpc(
			async (signal) =>
				new Promise<never>((_resolve, reject) => {
					signal.addEventListener('abort', () => {
						reject(new Error('aborted'));
					});
				}),
			0.5,
		);
		expect(answer._unsafeUnwrapErr().kind).toBe('rpc-failed');
	});
});

describe('createRpcPool', () => {
	const servers: Server[] = [];

	afterEach(() => {
		servers.splice(0).forEach((server) => {
			server.close();
			server.closeAllConnections();
		});
	});

	const startServer = async () => {
		const counts = {opened: 0, closed: 0, isSilent: false};
		const server = createServer((_req, res) => {
			if (!counts.isSilent) {
				res.setHeader('content-type', 'application/json');
				res.end(JSON.stringify({result: {data: {kind: 'taken'}}}));
			}
		});
		server.on('connection', (socket) => {
			counts.opened += 1;
			socket.on('close', () => {
				counts.closed += 1;
			});
		});
		servers.push(server);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		return {address: `http://127.0.0.1:${port}`, counts};
	};

	const deliver = async (
		client: ReturnType<typeof createControlClient>,
		timeoutMs = 5000,
	): Promise<boolean> => {
		const answer = await callRpc(
			async (signal) =>
				client.deliver.mutate({from: 'here', messages: []}, {signal}),
			timeoutMs,
		);
		return answer.isOk();
	};

	const deliverMany = async (
		client: ReturnType<typeof createControlClient>,
		count: number,
	): Promise<void> => {
		expect(await deliver(client)).toBe(true);
		return count > 1 ? deliverMany(client, count - 1) : undefined;
	};

	it('reuses its connections across requests', async () => {
		const {address, counts} = await startServer();
		const pool = createRpcPool();
		await deliverMany(createControlClient(address, pool), 20);
		// The pool may open a second connection while the first finishes a request.
		expect(counts.opened).toBeLessThanOrEqual(2);
		expect(counts.closed).toBe(0);
		await pool.close();
	});

	it('closes the connection of a request that timed out', async () => {
		const {address, counts} = await startServer();
		const pool = createRpcPool();
		const client = createControlClient(address, pool);
		await deliverMany(client, 3);
		counts.isSilent = true;
		expect(await deliver(client, 100)).toBe(false);
		await vi.waitFor(() => {
			expect(counts.closed).toBe(1);
		});
		counts.isSilent = false;
		expect(await deliver(client)).toBe(true);
		await pool.close();
	});
});
