import type {EntryEffect} from './effects.js';
import type {
	ServiceLevelRecord,
	ServiceLevelRecordDetail,
} from './service-level-records.js';
import type {Stream} from './state.js';

/** Creates the effect that records a measurement of a stream. */
export function createStreamRecord(
	stream: Stream,
	detail: ServiceLevelRecordDetail,
): EntryEffect {
	const {customer, input} = stream;
	const record: ServiceLevelRecord = {
		...detail,
		customer,
		service: input.service,
	};
	return {kind: 'record', record};
}
