import {describe, expect, it} from 'vitest';
import {
	checkConfiguration,
	chooseTarget,
	type Configuration,
	createRouteTable,
	type Route,
} from '../../index.js';

const route: Route = {
	name: 'grants',
	host: 'desk.example',
	pathPrefix: '/grants/',
	kind: 'non-idempotent',
	timeoutMs: 1000,
	latencyTargetMs: 200,
	priority: 2,
	targets: [{service: 'desk', weight: 1}],
	maxAttempts: 1,
	isAnonymous: false,
	isResumable: false,
	gapTargetMs: 700,
};

const configuration: Configuration = {
	version: 7,
	routes: [route],
	services: [{name: 'desk', maxConnections: 10}],
	limits: {
		maxHeaderBytes: 16_384,
		maxBodyBytes: 65_536,
		headerTimeoutMs: 3000,
		idleTimeoutMs: 15_000,
	},
	customers: [{name: 'label', keys: ['k-1', 'k-2']}],
};

describe('checkConfiguration', () => {
	it('accepts a valid configuration', () => {
		expect(checkConfiguration(configuration).isOk()).toBe(true);
	});

	it.each([
		['an unknown service', {targets: [{service: 'nobody', weight: 1}]}],
		['weights of 0', {targets: [{service: 'desk', weight: 0}]}],
		['a timeout of 0', {timeoutMs: 0}],
	])('refuses a route with %s', (_, change) => {
		const changed = {...configuration, routes: [{...route, ...change}]};
		expect(checkConfiguration(changed).isErr()).toBe(true);
	});

	it('refuses two routes with the same host and prefix', () => {
		const routes = [route, {...route, name: 'again'}];
		expect(checkConfiguration({...configuration, routes}).isErr()).toBe(true);
	});

	it('refuses a key that two customers share, without showing it', () => {
		const customers = [
			{name: 'label', keys: ['k-1']},
			{name: 'publisher', keys: ['k-1']},
		];
		const checked = checkConfiguration({...configuration, customers});
		expect(checked._unsafeUnwrapErr()).toEqual(['two customers share a key']);
	});

	it('lists every problem', () => {
		const routes = [{...route, timeoutMs: 0}, route];
		const checked = checkConfiguration({...configuration, routes});
		expect(checked._unsafeUnwrapErr()).toHaveLength(2);
	});
});

describe('createRouteTable', () => {
	const inner = {...route, name: 'inner', pathPrefix: '/grants/new/'};
	const table = createRouteTable({...configuration, routes: [route, inner]});

	it('finds the route with the longest prefix', () => {
		expect(table.findRoute('desk.example', '/grants/new/1')?.name).toBe(
			'inner',
		);
		expect(table.findRoute('desk.example', '/grants/1')?.name).toBe('grants');
	});

	it('ignores the port and the case of the host', () => {
		expect(table.findRoute('Desk.Example:8740', '/grants/1')?.name).toBe(
			'grants',
		);
	});

	it('finds no route for another host or a prefix without its slash', () => {
		expect(table.findRoute('other.example', '/grants/1')).toBeUndefined();
		expect(table.findRoute('desk.example', '/grants')).toBeUndefined();
	});

	it('finds the customer of a key', () => {
		expect(table.findCustomer('k-2')?.name).toBe('label');
		expect(table.findCustomer('k-3')).toBeUndefined();
	});
});

describe('chooseTarget', () => {
	const targets = [
		{service: 'old', weight: 90},
		{service: 'new', weight: 10},
		{service: 'off', weight: 0},
	];

	it('chooses by weight and never chooses a weight of 0', () => {
		expect(chooseTarget(targets, 0)).toBe('old');
		expect(chooseTarget(targets, 0.899)).toBe('old');
		expect(chooseTarget(targets, 0.901)).toBe('new');
		expect(chooseTarget(targets, 0.999_999)).toBe('new');
	});
});
