import type {ReplicaId} from '@lovagevalve/consensus';
import type {Logger, PeerClient} from '@lovagevalve/runtime';
import type {Result} from 'neverthrow';
import {
	decodeDepartureOutcome,
	decodeProposeOutcome,
	decodeReadOutcome,
	type ReadOutcome,
} from './decode-messages.js';
import type {ProposeOutcome} from './pending-requests.js';
import type {Replica} from './replica.js';
import {
	decodeRolloutReadOutcome,
	decodeRolloutRequestOutcome,
	type RolloutReadOutcome,
	type RolloutRequest,
	type RolloutRequestOutcome,
} from './rollout-messages.js';
import type {StoredConfiguration} from './state-machine.js';

/** Dependencies of a client of the leader. */
export type LeaderClientOptions = Readonly<{
	log: Logger;
	client: PeerClient;
	replica: Pick<Replica, 'findLeaderAddress'>;
	/** This instance's address for traffic between instances. */
	address: string;
}>;

/** Calls to the control instance that leads the group. */
export type LeaderClient = Readonly<{
	/** Resolves with `unknown` if there is no other leader or it does not respond. */
	propose: (configuration: StoredConfiguration) => Promise<ProposeOutcome>;
	/** Resolves with `unavailable` if there is no other leader or it does not respond. */
	read: () => Promise<ReadOutcome>;
	/** Passes an order on; an older leader, which knows none, leaves it unavailable. */
	orderRollout: (request: RolloutRequest) => Promise<RolloutRequestOutcome>;
	readRollout: (service: string) => Promise<RolloutReadOutcome>;
	/** Asks for the removal of a replica; resolves with whether it is committed. */
	leave: (replica: ReplicaId | undefined) => Promise<boolean>;
}>;

/** Less than the second after which a caller retries at another instance. */
const FORWARD_TIMEOUT_MS = 950;

/** Creates a client of whichever other instance leads at the time of a call. */
export function createLeaderClient({
	log,
	client,
	replica,
	address,
}: LeaderClientOptions): LeaderClient {
	/**
	 * Calls the leader; resolves with undefined if there is none or it does not
	 * respond.
	 */
	const call = async <T>(
		path: string,
		body: unknown,
		decode: (value: unknown) => Result<T, string>,
	): Promise<T | undefined> => {
		const leader = replica.findLeaderAddress();
		if (leader === undefined || leader === address) {
			return undefined;
		}

		const response = await client.call<unknown>(
			leader,
			path,
			body,
			FORWARD_TIMEOUT_MS,
		);
		return response.andThen(decode).match(
			(value) => value,
			(reason) => {
				log.warn('The leader did not respond.', {leader, path, reason});
				return undefined;
			},
		);
	};

	return {
		async propose(configuration) {
			const outcome = await call(
				'/propose',
				configuration,
				decodeProposeOutcome,
			);
			return outcome ?? 'unknown';
		},
		async read() {
			const outcome = await call('/read', {}, decodeReadOutcome);
			return outcome ?? {kind: 'unavailable'};
		},
		async orderRollout(request) {
			const outcome = await call(
				'/rollout',
				request,
				decodeRolloutRequestOutcome,
			);
			return outcome ?? 'unavailable';
		},
		async readRollout(service) {
			const outcome = await call(
				'/rollout-read',
				{service},
				decodeRolloutReadOutcome,
			);
			return outcome ?? {kind: 'unavailable'};
		},
		async leave(leaving) {
			const isRemoved = await call(
				'/leave',
				{replica: leaving},
				decodeDepartureOutcome,
			);
			return isRemoved ?? false;
		},
	};
}
