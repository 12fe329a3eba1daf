import {once} from 'node:events';
import {serve} from '@hono/node-server';
import {Hono} from 'hono';
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createOrderSender, type OrderSender} from '../../order-sender.js';

describe('order sender', () => {
	const receivedOrders: unknown[] = [];
	const neverResolves = once(new EventTarget(), 'never') as Promise<never>;
	let now = 0;
	let server: ReturnType<typeof serve>;
	let address: string;
	let sender: OrderSender;

	beforeEach(async () => {
		receivedOrders.length = 0;
		const app = new Hono();
		app.post('/v1/orders', async (ctx) => {
			const order = await ctx.req.json<{fencing: number}>();
			receivedOrders.push(order);
			return order.fencing < 5
				? ctx.text('old fencing number', 409)
				: ctx.json({kind: 'done'});
		});
		app.post('/silent/v1/orders', async () => neverResolves);
		address = await new Promise((resolve) => {
			server = serve({fetch: app.fetch, port: 0}, ({port}) => {
				resolve(`http://127.0.0.1:${port}`);
			});
		});
		sender = createOrderSender({now: () => now, wall: () => 0});
	});

	afterEach(async () => {
		await sender.close();
		server.close();
	});

	const send = async (fencing: number, path = '') =>
		sender.send({
			kind: 'send-order',
			address: `${address}${path}`,
			order: 'o1',
			fencing,
			sendBefore: 100,
			action: {kind: 'unload-model', model: 'lyric', version: '1'},
		});

	test('sends orders before their lease expires, and never after', async () => {
		now = 99;
		expect(await send(5)).toMatchObject({outcome: 'accepted'});
		now = 100;
		expect(await send(5)).toMatchObject({outcome: 'failed'});
		expect(receivedOrders).toHaveLength(1);
	});

	test('returns the reason of an order that the backend server refused', async () => {
		now = 0;
		expect(await send(4)).toEqual({
			outcome: 'refused',
			detail: 'old fencing number',
		});
	});

	test('fails at the timeout when the backend server does not answer', async () => {
		now = 0;
		expect(await send(5, '/silent')).toMatchObject({outcome: 'failed'});
	});
});
