export {parseAddress} from './backend-address.js';
export {openExchange} from './backend-exchange.js';
export {probeAddress} from './backend-probe.js';
export type {
	Exchange,
	ExchangeListener,
	ExchangeRequest,
} from './backend-exchange.js';
export {createBackendView} from './backend-view.js';
export type {BackendView} from './backend-view.js';
export type {LoadReservation} from './load-reservations.js';
export {createEntry} from './entry.js';
export type {Entry, EntryDependencies} from './entry.js';
export {createEntryPeers} from './entry-peers.js';
export type {EntryPeers} from './entry-peers.js';
export type {EntrySettings} from './entry-settings.js';
export {createEventSplitter} from './event-splitter.js';
export type {EventSplitter, StreamEvent} from './event-splitter.js';
export {removeHeaders, pairHeaders} from './hop-by-hop-headers.js';
export type {
	ResponseMetadata,
	BackendRequestMetadata,
	BackendCommand,
	HeaderCodec,
	KvCopyReference,
	RelayMetadata,
	RequestMetadata,
} from './protocol.js';
