export {listAddresses} from './addresses.js';
export {findCustomer} from './checks.js';
export {stepEntry} from './entry.js';
export type {
	CallInput,
	CallResult,
	ClaimOutcome,
	Cursor,
	EntryEffect,
	EntryEvent,
	Fact,
	GenerationInput,
	Quarantine,
	Refusal,
	RefusalDetail,
	RefusalOutcome,
} from './events.js';
export type {HomeAnswer, Place} from './homes.js';
export {lookUpHome} from './homes.js';
export type {EntryPeer, Lease, LeaseGrant} from './lease.js';
export {configurationInForce, isExpected} from './lease.js';
export type {EntryOptions} from './options.js';
export {DEFAULT_TIMINGS} from './options.js';
export type {Call, EntryPhase, EntryState, Stream} from './state.js';
export {createEntry, isLeaving} from './state.js';
export {strikeDigest} from './suspects.js';
export type {EntryTransition} from './transition.js';
export type {Backend, BackendAnnouncement} from './view.js';
