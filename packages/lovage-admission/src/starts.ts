export {recordArrival} from './start-arrivals.js';
export {decideStarts} from './start-decision.js';
export {
	NO_STARTS,
	type StartDecision,
	type StartEngine,
	type StartInput,
	type StartRefusal,
	type StartRequest,
	type StartState,
} from './start-types.js';
