import type {RaftMessage} from '@lovagevalve/consensus';
import {
	type ControlAnswer,
	type ControlEffect,
	type ControlEvent,
	type ControlInput,
	type ControlState,
	listMembers,
	stepControl,
} from '@lovagevalve/control-role';
import {createStore} from '@lovagevalve/core';
import type {Clock, Logger} from '@lovagevalve/runtime';
import type {DiskWriter} from './disk.js';
import type {OrderSender} from './order-sender.js';
import type {Outbox} from './outbox.js';

/** The caller of a request goes on without an answer after this. */
const REQUEST_TIMEOUT_MS = 4000;
/** Addresses of instances that are not in this one's log yet. */
const MAX_LEARNED = 32;

type Input = ControlEvent extends infer Event
	? Event extends ControlEvent
		? Omit<Event, 'now' | 'wall'>
		: never
	: never;

/** What the host runs effects with. */
export type HostParts = Readonly<{
	clock: Clock;
	log: Logger;
	outbox: Outbox;
	disk: DiskWriter;
	orders: OrderSender;
}>;

/** Runs the decisions of a control instance. */
export type ControlHost = Readonly<{
	read: () => ControlState;
	feed: (input: Input) => void;
	/** Resolves with the answer, or nothing if none came in time. */
	ask: (input: ControlInput) => Promise<ControlAnswer | undefined>;
	/** Takes a message that came from the instance at `address`. */
	receive: (address: string, message: RaftMessage) => void;
	registerListener: (listener: (state: ControlState) => void) => () => void;
}>;

/** Creates the host of a control instance. */
export function createControlHost(
	initial: ControlState,
	{clock, log, outbox, disk, orders}: HostParts,
): ControlHost {
	const waiting = new Map<string, (answer?: ControlAnswer) => void>();
	const learned = new Map<string, string>();
	let nextRequest = 1;

	const send = (message: RaftMessage): void => {
		const member = listMembers(store.read()).find(
			({replica}) => replica === message.to,
		);
		const address = member?.address ?? learned.get(message.to);
		if (address !== undefined) {
			outbox.send(address, message);
		}
	};

	const sendOrder = async (
		effect: Extract<ControlEffect, {kind: 'send-order'}>,
	): Promise<void> => {
		const outcome = await orders.send(effect);
		log.info('An order was sent.', {
			order: effect.order,
			address: effect.address,
			outcome: outcome.outcome,
		});
		feed({kind: 'order-answered', order: effect.order, ...outcome});
	};

	const runEffect = (effect: ControlEffect): void => {
		switch (effect.kind) {
			case 'send': {
				send(effect.message);
				break;
			}

			case 'persist':
			case 'persist-snapshot': {
				disk.write(effect);
				break;
			}

			case 'respond': {
				waiting.get(effect.request)?.(effect.response);
				break;
			}

			case 'send-order': {
				void sendOrder(effect);
				break;
			}

			case 'became-leader': {
				log.info('This instance leads the group.', {term: effect.term});
				break;
			}

			case 'stepped-down': {
				log.info('This instance leads no longer.', {term: effect.term});
				break;
			}
		}
	};

	const store = createStore<ControlState, ControlEvent, ControlEffect>(
		stepControl,
		initial,
		runEffect,
	);

	const feed = (input: Input): void => {
		store.update({...input, now: clock.now(), wall: clock.wall()});
	};

	const learn = (replica: string, address: string): void => {
		learned.delete(replica);
		learned.set(replica, address);
		const [oldest] = learned.keys();
		if (learned.size > MAX_LEARNED && oldest !== undefined) {
			learned.delete(oldest);
		}
	};

	return {
		read: store.read,
		feed,
		async ask(input) {
			const request = String(nextRequest++);
			return new Promise((resolve) => {
				const timer = setTimeout(() => {
					waiting.get(request)?.();
				}, REQUEST_TIMEOUT_MS);
				waiting.set(request, (answer) => {
					clearTimeout(timer);
					waiting.delete(request);
					resolve(answer);
				});
				feed({kind: 'requested', request, input});
			});
		},
		receive(address, message) {
			learn(message.from, address);
			feed({kind: 'received', message});
		},
		registerListener: (listener) => store.registerListener(listener),
	};
}
