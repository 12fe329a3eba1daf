import {type Model, runSequentially} from './model.js';
import {exploreHolders} from './orders-model-holders.js';
import {exploreLoadPacing} from './orders-model-pace.js';

/**
 * Orders to backend servers with and without fencing checks, and the pacing of
 * loads.
 */
export const ordersModel: Model = {
	name: 'orders',
	guards: [
		'fencingNumber',
		'singleOrderHolder',
		'confirmBeforeOrder',
		'waitOutOldHolder',
		'deliveryDeadline',
		'driftBound',
		'paceLoads',
	],
	bounds:
		'one change of the leader, one order of each holder, 5 ticks with a holding time of 2, clocks that drift by 1%, a backend server that checks numbers and one that does not; 4 engines that load one model',
	run(disabledGuards) {
		const isGuardEnabled = (guard: string) => !disabledGuards.includes(guard);
		return runSequentially([
			() => exploreHolders(true, isGuardEnabled),
			() => exploreHolders(false, isGuardEnabled),
			() => exploreLoadPacing(isGuardEnabled),
		]);
	},
};
