import type {ControlEffect, ControlEvent} from '@lovagevalve/control-role';
import {
	type Clock,
	createInterimBound,
	readBounded,
} from '@lovagevalve/runtime';
import type {Order} from '@lovagevalve/wire';
import {Agent, request} from 'undici';

const ORDER_TIMEOUT_MS = 1000;
const HTTP_CONFLICT = 409;
const MAX_DETAIL_LENGTH = 200;
/** An answer says in a line what became of the order; a proxy may add a page. */
const MAX_ANSWER_BYTES = 16_384;

type SendOrder = Extract<ControlEffect, {kind: 'send-order'}>;
type OrderAnsweredEvent = Extract<ControlEvent, {kind: 'order-answered'}>;

/** Outcome of an order, with the reason if it was not accepted. */
export type OrderOutcome = Pick<OrderAnsweredEvent, 'outcome' | 'detail'>;

/** Sends orders to backend servers over HTTP. */
export type OrderSender = Readonly<{
	send: (effect: SendOrder) => Promise<OrderOutcome>;
	close: () => Promise<void>;
}>;

/** Creates an order sender; an order whose lease has expired is not sent. */
export function createOrderSender(clock: Clock): OrderSender {
	const agent = new Agent({
		pipelining: 0,
		connect: {timeout: ORDER_TIMEOUT_MS},
	});

	const post = async (effect: SendOrder): Promise<OrderOutcome> => {
		const {order, fencing, action, address} = effect;
		const body: Order = {order, fencing, action};
		const interim = new AbortController();
		const answer = await request(`${address}/v1/orders`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(body),
			dispatcher: agent,
			signal: AbortSignal.any([
				AbortSignal.timeout(ORDER_TIMEOUT_MS),
				interim.signal,
			]),
			onInfo: createInterimBound(() => {
				interim.abort(new Error('the answer has too many interim answers'));
			}),
		});
		const content = await readBounded(answer.body, MAX_ANSWER_BYTES);
		const text = new TextDecoder().decode(content);
		const detail = text.slice(0, MAX_DETAIL_LENGTH);
		if (answer.statusCode < 300) {
			return {outcome: 'accepted', detail: ''};
		}

		return answer.statusCode === HTTP_CONFLICT
			? {outcome: 'refused', detail}
			: {outcome: 'failed', detail: `HTTP ${answer.statusCode}: ${detail}`};
	};

	return {
		async send(effect) {
			if (clock.now() >= effect.sendBefore) {
				return {outcome: 'failed', detail: 'the right to order has run out'};
			}

			try {
				return await post(effect);
			} catch (error) {
				const detail = error instanceof Error ? error.message : String(error);
				return {outcome: 'failed', detail};
			}
		},
		close: async () => agent.destroy(),
	};
}
