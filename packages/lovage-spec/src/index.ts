export type {ExploreOptions, ModelEvent} from './explore.js';
export {explore, STATE_LIMIT} from './explore.js';
export {logModels} from './log-models.js';
export type {Model, ModelResult, Violation} from './model.js';
