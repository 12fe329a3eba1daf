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
import type {DiskWriter} from './data-folder.js';
import type {OrderSender} from './order-sender.js';
import type {Outbox} from './outbox.js';

/** A request that has no answer after this resolves with `undefined`. */
const REQUEST_TIMEOUT_MS = 4000;
/** Sender addresses kept for instances that are not members in the local log yet. */
const MAX_LEARNED_ADDRESSES = 32;

type HostEvent = ControlEvent extends infer Event
	? Event extends ControlEvent
		? Omit<Event, 'now' | 'wall'>
		: never
	: never;

/** Components that execute the effects of the state machine. */
export type HostDependencies = Readonly<{
	clock: Clock;
	log: Logger;
	outbox: Outbox;
	disk: DiskWriter;
	orders: OrderSender;
}>;

/** Passes events to the control state machine and executes its effects. */
export type ControlHost = Readonly<{
	getState: () => ControlState;
	dispatchEvent: (input: HostEvent) => void;
	/** Resolves with the answer, or `undefined` after a timeout. */
	submitRequest: (input: ControlInput) => Promise<ControlAnswer | undefined>;
	/** Handles a Raft message from the instance at `address`. */
	receiveMessage: (address: string, message: RaftMessage) => void;
	registerListener: (listener: (state: ControlState) => void) => () => void;
}>;

/** Creates the host of a control instance. */
export function createControlHost(
	initial: ControlState,
	{clock, log, outbox, disk, orders}: HostDependencies,
): ControlHost {
	const pendingRequests = new Map<string, (answer?: ControlAnswer) => void>();
	const learnedAddresses = new Map<string, string>();
	let nextRequestId = 1;

	const sendMessage = (message: RaftMessage): void => {
		const member = listMembers(store.read()).find(
			({replica}) => replica === message.to,
		);
		const address = member?.address ?? learnedAddresses.get(message.to);
		if (address !== undefined) {
			outbox.send(address, message);
		}
	};

	const sendOrder = async (
		effect: Extract<ControlEffect, {kind: 'send-order'}>,
	): Promise<void> => {
		const outcome = await orders.send(effect);
		log.info('Sent an order.', {
			order: effect.order,
			address: effect.address,
			outcome: outcome.outcome,
		});
		dispatchEvent({kind: 'order-answered', order: effect.order, ...outcome});
	};

	const runEffect = (effect: ControlEffect): void => {
		switch (effect.kind) {
			case 'send': {
				sendMessage(effect.message);
				break;
			}

			case 'persist':
			case 'persist-snapshot': {
				disk.write(effect);
				break;
			}

			case 'respond': {
				pendingRequests.get(effect.request)?.(effect.response);
				break;
			}

			case 'send-order': {
				void sendOrder(effect);
				break;
			}

			case 'became-leader': {
				log.info('Became leader of the group.', {term: effect.term});
				break;
			}

			case 'stepped-down': {
				log.info('Stepped down as leader of the group.', {term: effect.term});
				break;
			}
		}
	};

	const store = createStore<ControlState, ControlEvent, ControlEffect>(
		stepControl,
		initial,
		runEffect,
	);

	const dispatchEvent = (input: HostEvent): void => {
		store.update({...input, now: clock.now(), wall: clock.wall()});
	};

	const rememberAddress = (replica: string, address: string): void => {
		learnedAddresses.delete(replica);
		learnedAddresses.set(replica, address);
		const [oldest] = learnedAddresses.keys();
		if (learnedAddresses.size > MAX_LEARNED_ADDRESSES && oldest !== undefined) {
			learnedAddresses.delete(oldest);
		}
	};

	return {
		getState: store.read,
		dispatchEvent,
		async submitRequest(input) {
			const request = String(nextRequestId++);
			return new Promise((resolve) => {
				const timer = setTimeout(() => {
					pendingRequests.get(request)?.();
				}, REQUEST_TIMEOUT_MS);
				pendingRequests.set(request, (answer) => {
					clearTimeout(timer);
					pendingRequests.delete(request);
					resolve(answer);
				});
				dispatchEvent({kind: 'requested', request, input});
			});
		},
		receiveMessage(address, message) {
			rememberAddress(message.from, address);
			dispatchEvent({kind: 'received', message});
		},
		registerListener: (listener) => store.registerListener(listener),
	};
}
