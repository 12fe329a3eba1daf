import type {Configuration, Service} from '@lovagevalve/inventory';
import type {IsGuarded} from './guards.js';
import type {BackendView, LeaseTable} from './leases.js';
import type {
	OrderAction,
	OrderTracker,
	OrderEntry,
	OrderSettings,
} from './order-types.js';

/** Maximum number of concurrent loads if the inventory has no weight store. */
const DEFAULT_PARALLEL_LOADS = 2;
/** Number of finished orders that are kept for status reports. */
const MAX_FINISHED_ORDERS = 100;

/** Input of `planOrders`. */
export type PlanContext = Readonly<{
	configuration: Configuration;
	backends: readonly BackendView[];
	fencing: number;
	settings: OrderSettings;
	now: number;
	isGuarded: IsGuarded;
}>;

type Model = Service['models'][number];

/**
 * Merges the backend servers that the entries report. Of several reports of one
 * server, the newest incarnation wins, then the lease renewed last.
 */
export function mergeBackends(table: LeaseTable): readonly BackendView[] {
	const newestFirst = Object.values(table.leases).toSorted(
		(a, b) => b.expiresAt - a.expiresAt,
	);
	const merged = new Map<string, BackendView>();
	newestFirst
		.flatMap(({backends}) => backends)
		.forEach((view) => {
			const known = merged.get(view.id);
			if (known === undefined || view.incarnation > known.incarnation) {
				merged.set(view.id, view);
			}
		});
	return [...merged.values()];
}

/** Lists backend servers that the inventory does not list for their service. */
export function findUnknownBackends(
	configuration: Configuration,
	backends: readonly BackendView[],
): readonly string[] {
	const known = new Set(
		configuration.inventory.services.flatMap(({id, workers}) =>
			workers.map((worker) => `${id}/${worker.id}`),
		),
	);
	return backends
		.filter(({id, service}) => !known.has(`${service}/${id}`))
		.map(({id}) => id);
}

function holdsModel(view: BackendView, model: Model): boolean {
	return view.models.some(
		({id, version, adapters}) =>
			id === model.id &&
			version === model.version &&
			model.adapters.every((adapter) => adapters.includes(adapter)),
	);
}

function findNextAction(
	service: Service,
	view: BackendView,
): OrderAction | undefined {
	const missing = service.models.find((model) => !holdsModel(view, model));
	if (missing !== undefined) {
		const {id, version, adapters} = missing;
		return {kind: 'load-model', model: id, version, adapters};
	}

	const surplus = view.models.find(
		({id, version}) =>
			!service.models.some(
				(model) => model.id === id && model.version === version,
			),
	);
	return surplus === undefined
		? undefined
		: {kind: 'unload-model', model: surplus.id, version: surplus.version};
}

function isFulfilled(entry: OrderEntry, view: BackendView): boolean {
	const {action} = entry;
	const holds = view.models.some(
		({id, version, adapters}) =>
			id === action.model &&
			version === action.version &&
			(action.kind === 'unload-model' ||
				action.adapters.every((adapter) => adapters.includes(adapter))),
	);
	return action.kind === 'load-model' ? holds : !holds;
}

function isActive({state}: OrderEntry): boolean {
	return state === 'pending' || state === 'sent';
}

function updateOrder(
	entry: OrderEntry,
	view: BackendView | undefined,
	settings: OrderSettings,
	now: number,
): OrderEntry {
	if (!isActive(entry)) {
		return entry;
	}

	if (view?.incarnation !== entry.incarnation) {
		return {
			...entry,
			state: 'refused',
			detail: 'restarted or gone',
			at: now,
		};
	}

	if (isFulfilled(entry, view)) {
		return {...entry, state: 'done', detail: '', at: now};
	}

	const isLate =
		entry.state === 'sent' && now >= entry.at + settings.loadTimeoutMs;
	return isLate
		? {
				...entry,
				state: 'refused',
				detail: 'not reported in time',
				at: now,
			}
		: entry;
}

/** Updates the state of the orders from the reports on the backend servers. */
export function updateOrders(
	tracker: OrderTracker,
	backends: readonly BackendView[],
	settings: OrderSettings,
	now: number,
): OrderTracker {
	const views = new Map(backends.map((view) => [view.id, view]));
	const updated = tracker.entries.map((entry) =>
		updateOrder(entry, views.get(entry.backend), settings, now),
	);
	const finished = updated.filter((entry) => !isActive(entry));
	const dropped = new Set(finished.slice(0, -MAX_FINISHED_ORDERS));
	return {
		...tracker,
		entries: updated.filter((entry) => !dropped.has(entry)),
	};
}

function isBusy(
	tracker: OrderTracker,
	view: BackendView,
	{settings, now}: PlanContext,
): boolean {
	return tracker.entries.some(
		(entry) =>
			entry.backend === view.id &&
			(isActive(entry) ||
				(entry.state === 'refused' &&
					entry.incarnation === view.incarnation &&
					now < entry.at + settings.retryAfterMs)),
	);
}

function planServiceOrders(
	tracker: OrderTracker,
	service: Service,
	plan: PlanContext,
): OrderTracker {
	const {backends, configuration, fencing, now, isGuarded} = plan;
	const parallelLoads =
		configuration.inventory.weightStore?.parallelLoads ??
		DEFAULT_PARALLEL_LOADS;
	const workers = new Map(service.workers.map((worker) => [worker.id, worker]));
	const views = backends.filter(
		({id, service: serviceId, state}) =>
			serviceId === service.id && state === 'serving' && workers.has(id),
	);
	// Orders go to at most half of a service's engines at a time, so that the others
	// keep serving; one engine can always get an order.
	const maxServiceLoads = Math.max(1, Math.floor(views.length / 2));
	return views.reduce((current, view) => {
		const active = current.entries.filter(isActive);
		const activeOfService = active.filter(
			({service: serviceId}) => serviceId === service.id,
		);
		const isBelowLoadLimit =
			(active.length < parallelLoads &&
				activeOfService.length < maxServiceLoads) ||
			!isGuarded('paceLoads');
		const action = findNextAction(service, view);
		if (
			action === undefined ||
			!isBelowLoadLimit ||
			isBusy(current, view, plan)
		) {
			return current;
		}

		const entry: OrderEntry = {
			order: `o${fencing}-${current.nextOrder}`,
			backend: view.id,
			service: service.id,
			address: view.address,
			incarnation: view.incarnation,
			checksFencing: workers.get(view.id)?.checksFencing ?? false,
			action,
			state: 'pending',
			detail: '',
			at: now,
		};
		return {
			...current,
			nextOrder: current.nextOrder + 1,
			entries: [...current.entries, entry],
		};
	}, tracker);
}

/**
 * Adds orders that bring the models of each engine in line with the inventory,
 * up to the number of parallel loads that the weight store allows.
 */
export function planOrders(
	tracker: OrderTracker,
	plan: PlanContext,
): OrderTracker {
	return plan.configuration.inventory.services
		.filter(({kind, models}) => kind === 'engine' && models.length > 0)
		.reduce(
			(current, service) => planServiceOrders(current, service, plan),
			tracker,
		);
}
