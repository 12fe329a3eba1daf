import {
	type BackendView,
	createOrderTracker,
	type IsGuarded,
	type OrderTracker,
	planOrders,
	updateOrders,
} from '@lovagevalve/control-role';
import {configurationSchema} from '@lovagevalve/inventory';
import {explore, type ModelEvent} from './explore.js';
import type {ModelResult} from './model.js';

const ENGINE_COUNT = 4;
const PARALLEL_LOADS = 2;
const KEY_HASH = `sha256:${'0'.repeat(64)}`;
const MODEL = {id: 'model', version: '1', adapters: []};
const SETTINGS = {
	holderLeaseMs: 100,
	deliveryTimeoutMs: 50,
	loadTimeoutMs: 1000,
	retryAfterMs: 1000,
	driftShare: 0,
};

type World = Readonly<{
	tracker: OrderTracker;
	/** Whether each engine has loaded the model. */
	loaded: readonly boolean[];
}>;

type WorldEvent = ModelEvent &
	(
		| Readonly<{type: 'leader plans'}>
		| Readonly<{type: 'load ends'; engine: number}>
	);

const configuration = configurationSchema.parse({
	inventory: {
		name: 'pace',
		dataCentres: [{id: 'dc', region: 'r'}],
		services: [
			{
				id: 's',
				kind: 'engine',
				models: [MODEL],
				workers: Array.from({length: ENGINE_COUNT}, (_, i) => ({
					id: `engine-${i}`,
					dataCentre: 'dc',
					checksFencing: true,
				})),
			},
		],
		customers: [{id: 'c', keyHash: KEY_HASH}],
		operators: [{id: 'o', keyHash: KEY_HASH}],
		weightStore: {url: 'http://127.0.0.1', parallelLoads: PARALLEL_LOADS},
	},
	rules: {},
});

function listBackends({loaded}: World): readonly BackendView[] {
	return loaded.map((isLoaded, i) => ({
		id: `engine-${i}`,
		service: 's',
		address: `http://engine-${i}`,
		incarnation: 1,
		state: 'serving',
		models: isLoaded ? [MODEL] : [],
	}));
}

function listLoading({tracker}: World): readonly string[] {
	return tracker.entries
		.filter(({state}) => state === 'pending' || state === 'sent')
		.map(({backend}) => backend);
}

function createStep(isGuardEnabled: IsGuarded) {
	return (world: World, event: WorldEvent): World => {
		if (event.type === 'load ends') {
			const loaded = world.loaded.map(
				(isLoaded, i) => isLoaded || i === event.engine,
			);
			return {...world, loaded};
		}

		const backends = listBackends(world);
		const updated = updateOrders(world.tracker, backends, SETTINGS, 0);
		const tracker = planOrders(updated, {
			configuration,
			backends,
			fencing: 1,
			settings: SETTINGS,
			now: 0,
			isGuarded: isGuardEnabled,
		});
		return {...world, tracker};
	};
}

function listEvents(world: World): WorldEvent[] {
	return [
		{type: 'leader plans'},
		...listLoading(world)
			.map((backend) => Number(backend.split('-').at(-1)))
			.filter((engine) => !world.loaded[engine])
			.map((engine): WorldEvent => ({type: 'load ends', engine})),
	];
}

function findViolation(world: World): string | undefined {
	const loading = listLoading(world).filter(
		(backend) => !world.loaded[Number(backend.split('-').at(-1))],
	);
	return loading.length > PARALLEL_LOADS
		? 'no more loads run than the weight store feeds'
		: undefined;
}

/**
 * Explores engines that load a model from a weight store with limited
 * parallelism.
 */
export function exploreLoadPacing(isGuardEnabled: IsGuarded): ModelResult {
	return explore<World, WorldEvent>({
		initial: {
			tracker: createOrderTracker('holder', 0),
			loaded: Array.from({length: ENGINE_COUNT}, () => false),
		},
		events: listEvents,
		step: createStep(isGuardEnabled),
		findViolation,
	});
}
