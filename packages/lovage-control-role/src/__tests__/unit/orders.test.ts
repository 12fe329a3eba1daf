import {describe, expect, test} from 'vitest';
import {
	recordConfirmedRead,
	createOrderTracker,
	describeControl,
	areAllGuardsEnabled,
	canSendOrder,
} from '../../index.js';
import {
	createApply,
	createConfiguration,
	createRenew,
	Group,
	settings,
} from './group.js';

describe('orders', () => {
	const loaded = [{id: 'lyric', version: '2', adapters: ['label']}];
	const apply = createApply('first', 0, createConfiguration('first', 6));

	test('loads the models of the inventory on a limited number of engines at a time', () => {
		const group = new Group(1);
		group.call(apply);
		group.call(createRenew('entry-1', 1, [], 6));
		group.runUntil(() => group.orders.length > 0);
		group.advanceTime(settings.orders.holderLeaseMs * 2);
		group.advanceTime(settings.orders.holderLeaseMs * 2);
		expect(group.orders).toHaveLength(2);
		expect(group.orders[0]?.action).toEqual({
			kind: 'load-model',
			model: 'lyric',
			version: '2',
			adapters: ['label'],
		});
		group.call(createRenew('entry-1', 1, loaded, 2));
		group.runUntil(() => group.orders.length === 2);
	});

	test('a new leader has a higher fencing number and waits where it is not checked', () => {
		const group = new Group(3);
		group.call(apply);
		group.call(createRenew('entry-1', 1, [], 2));
		group.runUntil(() => group.orders.length > 0);
		const [first] = group.orders.splice(0);
		group.isolated.add(group.leader!);
		group.runUntil(() => group.leader !== undefined);
		const {since} = group.states[group.leader!]!.leaderState!.orders;
		group.call(createRenew('entry-1', 1, [], 2));
		group.runUntil(() => group.orders.length > 0);
		expect(group.orders[0]?.address).toBe('http://engine-0');
		expect(group.orders[0]?.fencing).toBeGreaterThan(first!.fencing);
		group.dispatch(group.leader!, {
			kind: 'order-answered',
			order: group.orders[0]!.order,
			outcome: 'refused',
			detail: 'full',
		});
		group.runUntil(() =>
			group.orders.some(({address}) => address === 'http://engine-1'),
		);
		const {holderLeaseMs, deliveryTimeoutMs} = settings.orders;
		expect(group.now - since).toBeGreaterThan(
			holderLeaseMs + deliveryTimeoutMs,
		);
	});

	test('an isolated leader sends no order', () => {
		const group = new Group(3);
		group.call(apply);
		group.runUntil(() => {
			const {stateMachine, leaderState} = group.states[group.leader!]!;
			return stateMachine.orders.holder === leaderState?.orders.holder;
		});
		const old = group.leader!;
		group.call(createRenew('entry-1', 1, [], 2));
		group.isolated.add(old);
		group.runUntil(() => group.states[old]!.leaderState === undefined);
		expect(group.orders).toEqual([]);
	});

	test('only the holder of the latest grant may send orders', () => {
		const tracker = recordConfirmedRead(
			createOrderTracker('replica-1@2', 0),
			10_000,
		);
		const mayOrderWith = (holder: string) =>
			canSendOrder(tracker, {
				grant: {fencing: 7, holder},
				settings: settings.orders,
				checksFencing: true,
				now: 10_000,
				isGuarded: areAllGuardsEnabled,
			});
		expect(mayOrderWith('replica-1@2')).toBe(true);
		expect(mayOrderWith('replica-1@1')).toBe(false);
	});

	test('reports backend servers that are missing from the inventory', () => {
		const group = new Group(1);
		group.call(createApply('first', 0, createConfiguration('first', 1)));
		group.call(createRenew('entry-1', 1, [], 2));
		const report = describeControl(group.states[0]!);
		expect(report.unknownBackends).toEqual(['engine-1']);
	});
});
