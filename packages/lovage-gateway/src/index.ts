export {openExchange, probeAddress, splitAddress} from './backend-exchange.js';
export type {
	Exchange,
	ExchangeListener,
	ExchangeRequest,
} from './backend-exchange.js';
export {createBackendView} from './backend-view.js';
export type {BackendView, Placement} from './backend-view.js';
export {createEntry} from './entry.js';
export type {Entry, EntryParts, EntrySettings} from './entry.js';
export {createEventSplitter} from './event-splitter.js';
export type {EventSplitter, StreamEvent} from './event-splitter.js';
export {dropHeaders, pairHeaders} from './hop-headers.js';
export type {
	AnswerFacts,
	BackendCall,
	BackendOrder,
	HeaderCodec,
	MemoryCopy,
	RequestFacts,
} from './protocol.js';
