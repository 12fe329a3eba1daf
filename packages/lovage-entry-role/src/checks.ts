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

/** Customer, service and configuration of an accepted request. */
export type AllowedRequest = Readonly<{
	customer: string;
	service: Service;
	configuration: Configuration;
}>;

/** Result of checking a request. */
export type RequestCheck =
	| ({kind: 'allowed'} & AllowedRequest)
	| {kind: 'refused'; refusal: RefusalDetail};

/** Creates a refusal with the addresses of other entries and a retry delay. */
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

/** Finds the customer that an API key belongs to. */
export function findCustomer(
	configuration: Configuration,
	keyHash: string,
): string | undefined {
	return configuration.inventory.customers.find(
		(customer) => customer.keyHash === keyHash,
	)?.id;
}

/** Checks the lease, customer and service of a new request. */
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

/** Returns a refusal if the entry is draining or at its limit of open requests. */
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
