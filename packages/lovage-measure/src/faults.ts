import type {Clock} from './clock.js';
import type {Engine} from './engine.js';
import type {Entry} from './entry.js';
import type {Platform} from './platform.js';
import type {Random} from './random.js';
import {FAULT_AT_MS, type Deployment, type Fault} from './scenario.js';

const RESTART_DELAY_MS = 20_000;
/** Time between the two deaths of the `twice` fault. */
const SECOND_DEATH_DELAY_MS = 3000;
const PAUSE_RANGE_MS = [1000, 6000] as const;
/** Time within which all engines of a rack or data centre die. */
const GROUP_DEATH_SPREAD_MS = 150;

type FaultContext = Readonly<{
	clock: Clock;
	random: Random;
	platform: Platform;
	deployment: Deployment;
	entries: readonly Entry[];
}>;

function crashEngine(
	context: FaultContext,
	engine: Engine,
	isReset: boolean,
): void {
	engine.die(isReset);
	context.clock.schedule(RESTART_DELAY_MS, engine.restart);
}

function listBusyEngines({platform}: FaultContext): readonly Engine[] {
	const busy = platform.engines.filter(({getLoad}) => getLoad().running > 0);
	return busy.length > 0 ? busy : platform.engines;
}

/**
 * Crashes engines within a short time. A lost rack or data centre sends no
 * resets.
 */
function crashEngines(context: FaultContext, engines: readonly Engine[]): void {
	engines.forEach((engine) => {
		context.clock.schedule(
			context.random.between(0, GROUP_DEATH_SPREAD_MS),
			() => {
				crashEngine(context, engine, false);
			},
		);
	});
}

/**
 * Crashes a busy engine without a reset: its connections stay open and silent.
 */
function crashBusyEngine(context: FaultContext): void {
	crashEngine(context, context.random.pick(listBusyEngines(context)), false);
}

function pauseBusyEngine(context: FaultContext): void {
	const engine = context.random.pick(listBusyEngines(context));
	engine.pause();
	context.clock.schedule(
		context.random.between(...PAUSE_RANGE_MS),
		engine.continueRunning,
	);
}

function silenceConnections(context: FaultContext): void {
	const {id} = context.random.pick(listBusyEngines(context));
	context.entries.forEach((entry) => {
		entry.silence(id);
	});
}

function injectFault(context: FaultContext, fault: Fault): void {
	const {random, platform, deployment} = context;
	switch (fault) {
		case 'engine-death': {
			crashBusyEngine(context);
			break;
		}

		case 'twice': {
			crashBusyEngine(context);
			context.clock.schedule(SECOND_DEATH_DELAY_MS, () => {
				crashBusyEngine(context);
			});
			break;
		}

		case 'pause': {
			pauseBusyEngine(context);
			break;
		}

		case 'dead-connection': {
			silenceConnections(context);
			break;
		}

		case 'rack': {
			const {rack} = random.pick(platform.engines);
			crashEngines(
				context,
				platform.engines.filter((engine) => engine.rack === rack),
			);
			break;
		}

		case 'data-centre': {
			const lostDataCentre = random.pick(deployment.dataCentres);
			crashEngines(
				context,
				platform.engines.filter(
					({dataCentre}) => dataCentre === lostDataCentre,
				),
			);
			break;
		}

		case 'killer':
		case 'batch': {
			// The workload creates these faults.
			break;
		}
	}
}

/** Schedules the fault of a run. */
export function scheduleFault(context: FaultContext, fault: Fault): void {
	context.clock.schedule(FAULT_AT_MS, () => {
		injectFault(context, fault);
	});
}
