export {chooseBackend, isEligible} from './choose.js';
export {countFreeSlots} from './free.js';
export {hashText} from './hash.js';
export {estimateLoadShare, estimateOccupancy, getCachedShare} from './load.js';
export {sample} from './sample.js';
export {
	DEFAULT_PLACEMENT_POLICY,
	type Candidate,
	type LoadReport,
	type PlacementPolicy,
	type PlacementRequest,
} from './types.js';
