import type {EntryEffect} from './effects.js';
import type {Fact} from './facts.js';
import type {Call} from './state.js';

function createRecord(fact: Fact): EntryEffect {
	return {kind: 'record', fact};
}

function describeWork(call: Call) {
	return {customer: call.customer, service: call.input.service};
}

/** Records how a call ended. */
export function recordEnd(
	call: Call,
	outcome: Extract<Fact, {kind: 'ended'}>['outcome'],
): EntryEffect {
	return createRecord({...describeWork(call), kind: 'ended', outcome});
}

/** Records that a backend server ran a call. */
export function recordWork(call: Call): EntryEffect {
	return createRecord({...describeWork(call), kind: 'worked', amount: 1});
}

/** Records that a lost call runs again. */
export function recordDuplicate(call: Call): EntryEffect {
	const cause = 'duplicate-attempt';
	return createRecord({
		...describeWork(call),
		kind: 'extra-used',
		amount: 1,
		cause,
	});
}
