import {
	applyLoggedCommand,
	recordConfirmedRead,
	createStateMachine,
	createOrderTracker,
	type IsGuarded,
	type StateMachine,
	canSendOrder,
	type OrderTracker,
	type OrderSettings,
} from '@lovagevalve/control-role';
import {explore, type ModelEvent} from './explore.js';
import type {ModelResult} from './model.js';

const TICK_MS = 50;
const MAX_TICKS = 5;
const DRIFT_SHARE = 0.01;
/** Maximum number of orders that one holder sends. */
const MAX_ORDERS = 1;

type Order = Readonly<{
	holder: number;
	fencing: number;
	/** Time of sending on the holder's clock. */
	sentAt: number;
}>;

type World = Readonly<{
	checksFencing: boolean;
	ticks: number;
	/** Order tracker of each holder; the last holder is the current leader. */
	books: readonly OrderTracker[];
	/** Replicated state as known to each holder. */
	machines: readonly StateMachine[];
	orders: readonly Order[];
	/** Number of orders sent by each holder. */
	given: readonly number[];
	/** Latest holder whose order the backend server has executed. */
	obeyed: number;
	highestFencing: number;
	/**
	 * Whether an order of an earlier holder was executed after one of a later
	 * holder.
	 */
	isBroken: boolean;
}>;

type WorldEvent = ModelEvent &
	(
		| Readonly<{type: 'time passes'}>
		| Readonly<{type: 'leader gets the right to order'}>
		| Readonly<{type: 'leader reads with the quorum'}>
		| Readonly<{type: 'leader changes'}>
		| Readonly<{type: 'holder gives an order'; holder: number}>
		| Readonly<{type: 'order arrives'; holder: number; order: number}>
	);

/** Whether a guard of the model is enabled. */
type IsGuardEnabled = IsGuarded & ((guard: string) => boolean);

function createOrderSettings(isGuardEnabled: IsGuardEnabled): OrderSettings {
	return {
		holderLeaseMs: 2 * TICK_MS,
		deliveryTimeoutMs: TICK_MS,
		loadTimeoutMs: 1000,
		retryAfterMs: 1000,
		driftShare: isGuardEnabled('driftBound') ? DRIFT_SHARE : 0,
	};
}

/**
 * Time on a holder's clock, in milliseconds; the first holder's clock is slow.
 */
function getHolderTime({ticks}: World, holder: number): number {
	const ms = ticks * TICK_MS;
	return holder === 0 ? Math.floor(ms * (1 - DRIFT_SHARE)) : ms;
}

function createInitial(checksFencing: boolean): World {
	return {
		checksFencing,
		ticks: 0,
		books: [createOrderTracker('first', -1000)],
		machines: [createStateMachine()],
		orders: [],
		given: [0],
		obeyed: 0,
		highestFencing: 0,
		isBroken: false,
	};
}

function replaceAt<Item>(items: readonly Item[], index: number, item: Item) {
	return items.map((known, i) => (i === index ? item : known));
}

function acquireOrderRight(
	world: World,
	isGuardEnabled: IsGuardEnabled,
): World {
	const leaderIndex = world.books.length - 1;
	const machine = world.machines[leaderIndex]!;
	const {holder} = world.books[leaderIndex]!;
	const logged = {at: 0, command: {kind: 'take-orders', holder} as const};
	const index = machine.appliedIndex + 1;
	const {state} = applyLoggedCommand(machine, index, logged, isGuardEnabled);
	return {...world, machines: replaceAt(world.machines, leaderIndex, state)};
}

function confirmRead(world: World): World {
	const leaderIndex = world.books.length - 1;
	const tracker = recordConfirmedRead(
		world.books[leaderIndex]!,
		getHolderTime(world, leaderIndex),
	);
	return {...world, books: replaceAt(world.books, leaderIndex, tracker)};
}

function changeLeader(world: World): World {
	return {
		...world,
		books: [
			...world.books,
			createOrderTracker('second', getHolderTime(world, 1)),
		],
		machines: [...world.machines, world.machines.at(-1)!],
		given: [...world.given, 0],
	};
}

function sendOrder(world: World, holder: number): World {
	const {fencing} = world.machines[holder]!.orders;
	const order = {holder, fencing, sentAt: getHolderTime(world, holder)};
	return {
		...world,
		orders: [...world.orders, order],
		given: replaceAt(world.given, holder, world.given[holder]! + 1),
	};
}

function receiveOrder(world: World, index: number): World {
	const {holder, fencing} = world.orders[index]!;
	const orders = world.orders.filter((_, i) => i !== index);
	if (world.checksFencing && fencing < world.highestFencing) {
		return {...world, orders};
	}

	return {
		...world,
		orders,
		highestFencing: Math.max(world.highestFencing, fencing),
		obeyed: Math.max(world.obeyed, holder),
		isBroken: world.isBroken || holder < world.obeyed,
	};
}

function createStep(isGuardEnabled: IsGuardEnabled) {
	return (world: World, event: WorldEvent): World => {
		switch (event.type) {
			case 'time passes': {
				return {...world, ticks: world.ticks + 1};
			}

			case 'leader gets the right to order': {
				return acquireOrderRight(world, isGuardEnabled);
			}

			case 'leader reads with the quorum': {
				return confirmRead(world);
			}

			case 'leader changes': {
				return changeLeader(world);
			}

			case 'holder gives an order': {
				return sendOrder(world, event.holder);
			}

			case 'order arrives': {
				return receiveOrder(world, event.order);
			}
		}
	};
}

function canOrder(
	world: World,
	holder: number,
	isGuardEnabled: IsGuardEnabled,
): boolean {
	return (
		world.given[holder]! < MAX_ORDERS &&
		canSendOrder(world.books[holder]!, {
			grant: world.machines[holder]!.orders,
			settings: createOrderSettings(isGuardEnabled),
			checksFencing: world.checksFencing,
			now: getHolderTime(world, holder),
			isGuarded: isGuardEnabled,
		})
	);
}

function canArrive(
	world: World,
	order: Order,
	isGuardEnabled: IsGuardEnabled,
): boolean {
	const {deliveryTimeoutMs} = createOrderSettings(isGuardEnabled);
	const age = getHolderTime(world, order.holder) - order.sentAt;
	return age < deliveryTimeoutMs || !isGuardEnabled('deliveryDeadline');
}

function createEventLister(isGuardEnabled: IsGuardEnabled) {
	return (world: World): WorldEvent[] => {
		const leaderIndex = world.books.length - 1;
		const holdsOrderRight =
			world.machines[leaderIndex]!.orders.holder ===
			world.books[leaderIndex]!.holder;
		const isReadFresh =
			world.books[leaderIndex]!.confirmedAt ===
			getHolderTime(world, leaderIndex);
		const possible: ReadonlyArray<readonly [boolean, WorldEvent]> = [
			[world.ticks < MAX_TICKS, {type: 'time passes'}],
			[!holdsOrderRight, {type: 'leader gets the right to order'}],
			[!isReadFresh, {type: 'leader reads with the quorum'}],
			[leaderIndex === 0, {type: 'leader changes'}],
		];
		return [
			...possible
				.filter(([isPossible]) => isPossible)
				.map(([, event]) => event),
			...world.books.flatMap((_, holder): WorldEvent[] =>
				canOrder(world, holder, isGuardEnabled)
					? [{type: 'holder gives an order', holder}]
					: [],
			),
			...world.orders.flatMap((order, i): WorldEvent[] =>
				canArrive(world, order, isGuardEnabled)
					? [{type: 'order arrives', holder: order.holder, order: i}]
					: [],
			),
		];
	};
}

function createKey(world: World): string {
	const {machines, ...rest} = world;
	return JSON.stringify([rest, machines.map(({orders}) => orders)]);
}

/** Explores a leader that is replaced while its orders are in flight. */
export function exploreHolders(
	checksFencing: boolean,
	isGuardEnabled: IsGuardEnabled,
): ModelResult {
	return explore<World, WorldEvent>({
		initial: createInitial(checksFencing),
		events: createEventLister(isGuardEnabled),
		step: createStep(isGuardEnabled),
		findViolation: ({isBroken}) =>
			isBroken
				? 'no order of an earlier holder is obeyed after one of a later holder'
				: undefined,
		createKey,
	});
}
