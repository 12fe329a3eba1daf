import type {Clock} from './clock.js';
import type {Engine} from './engine.js';
import type {Entry} from './entry.js';
import type {Platform} from './platform.js';
import type {Random} from './random.js';
import {FAULT_AT_MS, type Deployment, type Fault} from './scenario.js';

const RESTART_MS = 20_000;
const SECOND_AFTER_MS = 3000;
const PAUSE_MS = [1000, 6000] as const;
const RACK_SPREAD_MS = 150;

type Scene = Readonly<{
	clock: Clock;
	random: Random;
	platform: Platform;
	deployment: Deployment;
	entries: readonly Entry[];
}>;

function kill(scene: Scene, engine: Engine, isReset: boolean): void {
	engine.die(isReset);
	scene.clock.schedule(RESTART_MS, engine.restart);
}

function listBusy({platform}: Scene): readonly Engine[] {
	const busy = platform.engines.filter(({getLoad}) => getLoad().running > 0);
	return busy.length > 0 ? busy : platform.engines;
}

/** Kills engines within a short time; a lost place gives no resets. */
function killAll(scene: Scene, engines: readonly Engine[]): void {
	engines.forEach((engine) => {
		scene.clock.schedule(scene.random.between(0, RACK_SPREAD_MS), () => {
			kill(scene, engine, false);
		});
	});
}

/** A death without notice: the connections stay open and silent. */
function killOne(scene: Scene): void {
	kill(scene, scene.random.pick(listBusy(scene)), false);
}

function pause(scene: Scene): void {
	const engine = scene.random.pick(listBusy(scene));
	engine.pause();
	scene.clock.schedule(
		scene.random.between(...PAUSE_MS),
		engine.continueRunning,
	);
}

function silence(scene: Scene): void {
	const {id} = scene.random.pick(listBusy(scene));
	scene.entries.forEach((entry) => {
		entry.silence(id);
	});
}

function apply(scene: Scene, fault: Fault): void {
	const {random, platform, deployment} = scene;
	switch (fault) {
		case 'engine-death': {
			killOne(scene);
			break;
		}

		case 'twice': {
			killOne(scene);
			scene.clock.schedule(SECOND_AFTER_MS, () => {
				killOne(scene);
			});
			break;
		}

		case 'pause': {
			pause(scene);
			break;
		}

		case 'dead-connection': {
			silence(scene);
			break;
		}

		case 'rack': {
			const {rack} = random.pick(platform.engines);
			killAll(
				scene,
				platform.engines.filter((engine) => engine.rack === rack),
			);
			break;
		}

		case 'data-centre': {
			const lost = random.pick(deployment.dataCentres);
			killAll(
				scene,
				platform.engines.filter(({dataCentre}) => dataCentre === lost),
			);
			break;
		}

		case 'killer':
		case 'batch': {
			// The requests themselves are the fault.
			break;
		}
	}
}

/** Schedules the fault of a run. */
export function scheduleFault(scene: Scene, fault: Fault): void {
	scene.clock.schedule(FAULT_AT_MS, () => {
		apply(scene, fault);
	});
}
