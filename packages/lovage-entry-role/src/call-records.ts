import type {EntryEffect} from './effects.js';
import type {ServiceLevelRecord} from './service-level-records.js';
import type {Call} from './state.js';

function createRecordEffect(record: ServiceLevelRecord): EntryEffect {
	return {kind: 'record', record};
}

function describeCall(call: Call) {
	return {customer: call.customer, service: call.input.service};
}

/** Creates the record of how a call ended. */
export function createCallOutcomeRecord(
	call: Call,
	outcome: Extract<ServiceLevelRecord, {kind: 'ended'}>['outcome'],
): EntryEffect {
	return createRecordEffect({...describeCall(call), kind: 'ended', outcome});
}

/** Creates the record of a call that a backend server ran. */
export function createCallExecutionRecord(call: Call): EntryEffect {
	return createRecordEffect({...describeCall(call), kind: 'worked', amount: 1});
}

/** Creates the record of a lost idempotent call that is sent again. */
export function createDuplicateAttemptRecord(call: Call): EntryEffect {
	const cause = 'duplicate-attempt';
	return createRecordEffect({
		...describeCall(call),
		kind: 'extra-used',
		amount: 1,
		cause,
	});
}
