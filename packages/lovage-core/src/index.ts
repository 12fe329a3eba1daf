export {InvariantError, assertNever, invariant} from './invariant.js';
export type {Step, Transition} from './step.js';
export {createTransition} from './step.js';
export type {EffectHandler, Listener, Store} from './store.js';
export {createStore} from './store.js';
