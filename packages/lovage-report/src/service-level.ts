import {createTransition, invariant, type Transition} from '@lovagevalve/core';
import type {Rules} from '@lovagevalve/inventory';
import {Map as ImmutableMap} from 'immutable';
import {countEvent, type RequestEvent} from './bucket.js';
import type {ServiceLevelEvent} from './events.js';
import {updateRing, type Ring} from './ring.js';
import {WINDOW_NAMES, WINDOWS, type WindowName} from './windows.js';

/** Customer name for all customers beyond the limit of series. */
export const OTHER_CUSTOMERS = '(other)';

const DEFAULT_MAX_SERIES = 1024;

/** Counts of one customer at one service. */
export type Series = Readonly<{
	customer: string;
	service: string;
	rings: Readonly<Record<WindowName, Ring>>;
}>;

/** Counts of all customers and services. */
export type ServiceLevelState = Readonly<{
	rules: Rules;
	maxSeries: number;
	series: ImmutableMap<string, Series>;
}>;

/** Creates an empty state. Customers beyond `maxSeries` series are aggregated. */
export function createServiceLevel(
	rules: Rules,
	maxSeries = DEFAULT_MAX_SERIES,
): ServiceLevelState {
	return {rules, maxSeries, series: ImmutableMap()};
}

/** Returns the key of a customer's series at a service. */
export function createSeriesKey(customer: string, service: string): string {
	return `${service}/${customer}`;
}

/** Creates an empty series. */
export function createSeries(customer: string, service: string): Series {
	return {customer, service, rings: {'5m': [], '1h': [], '6h': [], '3d': []}};
}

function findSeries(state: ServiceLevelState, event: RequestEvent): Series {
	const {customer, service} = event;
	const found = state.series.get(createSeriesKey(customer, service));
	if (found !== undefined) {
		return found;
	}

	if (state.series.size < state.maxSeries) {
		return createSeries(customer, service);
	}

	return (
		state.series.get(createSeriesKey(OTHER_CUSTOMERS, service)) ??
		createSeries(OTHER_CUSTOMERS, service)
	);
}

function countInSeries(
	series: Series,
	event: RequestEvent,
	rules: Rules,
): Series {
	const rings = WINDOW_NAMES.map((name) => {
		const window = WINDOWS[name];
		const ring = updateRing(series.rings[name], window, event.at, (bucket) =>
			countEvent(bucket, event, rules, window.hasLatencies),
		);
		return [name, ring] as const;
	});
	return {
		...series,
		rings: Object.fromEntries(rings) as Record<WindowName, Ring>,
	};
}

function getCountedValue(event: RequestEvent): number {
	switch (event.kind) {
		case 'first-token':
		case 'resumed': {
			return event.waitMs;
		}

		case 'worked':
		case 'extra-used': {
			return event.amount;
		}

		case 'ended': {
			return 0;
		}
	}
}

function assertValidNumbers(event: RequestEvent): void {
	const amount = getCountedValue(event);
	invariant(
		Number.isFinite(amount) && amount >= 0 && Number.isFinite(event.at),
		'counted values must be a number of at least 0 at a finite time',
	);
}

/** Adds one event to the counts. */
export function stepServiceLevel(
	state: ServiceLevelState,
	event: ServiceLevelEvent,
): Transition<ServiceLevelState, never> {
	if (event.kind === 'rules-changed') {
		return createTransition({...state, rules: event.rules});
	}

	assertValidNumbers(event);
	const series = countInSeries(findSeries(state, event), event, state.rules);
	const key = createSeriesKey(series.customer, series.service);
	return createTransition({...state, series: state.series.set(key, series)});
}
