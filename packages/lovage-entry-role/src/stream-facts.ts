import type {EntryEffect} from './effects.js';
import type {Fact, FactDetail} from './facts.js';
import type {Stream} from './state.js';

/** Records a fact about a stream. */
export function recordStream(stream: Stream, detail: FactDetail): EntryEffect {
	const {customer, input} = stream;
	const fact: Fact = {...detail, customer, service: input.service};
	return {kind: 'record', fact};
}
