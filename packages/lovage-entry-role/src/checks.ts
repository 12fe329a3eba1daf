import type {Configuration, Service} from '@lovagevalve/inventory';
import {listAddresses} from './addresses.js';
import {
	DEFAULT_RETRY_AFTER_MS,
	type RefusalReason,
	type RefusalDetail,
	type RefusalOutcome,
} from './refusals.js';
import {configurationInForce} from './lease.js';
import {isLeaving, type EntryState} from './state.js';

/** A request that may go on. */
export type AllowedRequest = Readonly<{
	customer: string;
	service: Service;
	configuration: Configuration;
}>;

/** A request that may go on, or why it may not. */
export type RequestCheck =
	| ({kind: 'allowed'} & AllowedRequest)
	| {kind: 'refused'; refusal: RefusalDetail};

/** Builds a refusal that names other entries and when to come back. */
export function createRefusalWithAddresses(
	state: EntryState,
	reason: RefusalReason,
	detail: string,
	outcome?: RefusalOutcome,
): RefusalDetail {
	const addresses = listAddresses(
		state.options,
		state.lease,
		isLeaving(state),
		'',
	).filter((address) => address !== state.options.address);
	return {
		reason,
		detail,
		outcome,
		retryAfterMs: DEFAULT_RETRY_AFTER_MS,
		addresses,
	};
}

function createRefusedCheck(refusal: RefusalDetail): RequestCheck {
	return {kind: 'refused', refusal};
}

/** Finds the customer of a key in the configuration in force. */
export function findCustomer(
	configuration: Configuration,
	keyHash: string,
): string | undefined {
	return configuration.inventory.customers.find(
		(customer) => customer.keyHash === keyHash,
	)?.id;
}

/** Checks lease, drain, room, customer and service of a new request. */
export function checkRequest(
	state: EntryState,
	request: Readonly<{
		keyHash: string;
		service: string;
		kind: Service['kind'];
		now: number;
	}>,
): RequestCheck {
	const configuration = configurationInForce(state.lease, request.now);
	if (!configuration) {
		const detail = 'This entry holds no lease on the configuration.';
		return createRefusedCheck(
			createRefusalWithAddresses(state, 'no-lease', detail),
		);
	}

	const customer = findCustomer(configuration, request.keyHash);
	if (customer === undefined) {
		const detail = 'The key belongs to no customer.';
		return createRefusedCheck({reason: 'unauthenticated', detail});
	}

	const service = configuration.inventory.services.find(
		({id, kind}) => id === request.service && kind === request.kind,
	);
	if (!service) {
		const detail = `There is no ${request.kind} service "${request.service}".`;
		return createRefusedCheck({reason: 'unknown-service', detail});
	}

	return {kind: 'allowed', customer, service, configuration};
}

/** Tells why the entry takes nothing new, if so. */
export function findUnavailableRefusal(
	state: EntryState,
): RefusalDetail | undefined {
	if (state.phase.kind === 'finishing' || state.phase.kind === 'drained') {
		const detail = 'This entry is leaving.';
		return createRefusalWithAddresses(state, 'draining', detail, 'not-run');
	}

	if (state.streams.size + state.calls.size >= state.options.maxOpen) {
		const detail = 'This entry has no room for another request.';
		return createRefusalWithAddresses(state, 'overloaded', detail, 'not-run');
	}

	return undefined;
}
