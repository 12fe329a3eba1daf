import {setTimeout as sleep} from 'node:timers/promises';
import {judgeOrder, type RolloutCommand} from '@lovagevalve/rollout';
import type {Clock, Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import type {LeaderClient} from './leader-client.js';
import type {Replica} from './replica.js';
import type {
	RolloutReadOutcome,
	RolloutRequest,
	RolloutRequestOutcome,
} from './rollout-messages.js';

/** Settings of roll-outs; present where they are in force. */
export type RolloutSettings = Readonly<{
	/** Part of a service's requests that a bad version may get. */
	exposeShare: number;
	/** Requests beyond that part. */
	exposeSlack: number;
	/** Time after its 50th bad response from which on a bad version gets nothing. */
	rollbackMs: number;
	/** Time without a control instance after which an entry is out of contact. */
	contactMs: number;
	/** Time within which a valid order is acknowledged. */
	ackMs: number;
}>;

/** Dependencies of the replicated roll-outs. */
export type ReplicatedRolloutsOptions = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: Pick<PrometheusMetrics, 'count'>;
	replica: Pick<Replica, 'readState' | 'isLeader' | 'propose' | 'confirmRead'>;
	leader: Pick<LeaderClient, 'orderRollout' | 'readRollout'>;
	settings: RolloutSettings;
	/** Version of the servers that a service has now; undefined if it has none. */
	findServedVersion: (service: string) => string | undefined;
}>;

/** The orders that the group has committed. */
export type ReplicatedRollouts = Readonly<{
	/** Orders a roll-out at any instance; resolves within the time to acknowledge it. */
	order: (request: RolloutRequest) => Promise<RolloutRequestOutcome>;
	/** Reads the newest order of a service here or at the leader. */
	read: (service: string) => Promise<RolloutReadOutcome>;
	/** Orders a roll-out if this instance leads. */
	orderLocally: (request: RolloutRequest) => Promise<RolloutRequestOutcome>;
	/** Reads the newest order of a service if this instance leads. */
	readLocally: (service: string) => Promise<RolloutReadOutcome>;
}>;

/** Pause before an order is sent again; a leader is elected within half a second. */
const RESEND_MS = 150;
/** Time that an attempt takes at most. */
const ATTEMPT_MS = 1000;

/** Creates access to the orders, from any instance of the group. */
export function createReplicatedRollouts({
	clock,
	log,
	metrics,
	replica,
	leader,
	settings,
	findServedVersion,
}: ReplicatedRolloutsOptions): ReplicatedRollouts {
	const commit = async (command: RolloutCommand): Promise<boolean> =>
		(await replica.propose(command)) === 'committed';

	const orderLocally = async (
		request: RolloutRequest,
	): Promise<RolloutRequestOutcome> => {
		// A deposed leader must not answer by an older state.
		if (!(await replica.confirmRead())) {
			return 'unavailable';
		}

		const {service, to} = request;
		const judged = judgeOrder(replica.readState().rollouts, request);
		if (judged !== 'accepted') {
			return judged === 'repeated' ? 'acknowledged' : 'conflicting';
		}

		const served = findServedVersion(service);
		const known = replica.readState().rollouts.get(service);
		if (
			known?.current === undefined &&
			served !== undefined &&
			!(await commit({kind: 'rollout-first', service, version: served}))
		) {
			return 'unavailable';
		}

		if (!(await commit({kind: 'rollout-order', ...request}))) {
			return 'unavailable';
		}

		// Another order may have been committed just before.
		return replica.readState().rollouts.get(service)?.order?.to === to
			? 'acknowledged'
			: 'conflicting';
	};

	const readLocally = async (service: string): Promise<RolloutReadOutcome> => {
		if (!(await replica.confirmRead())) {
			return {kind: 'unavailable'};
		}

		const order = replica.readState().rollouts.get(service)?.order;
		return order === undefined
			? {kind: 'none'}
			: {kind: 'found', order: {to: order.to, stage: order.stage}};
	};

	return {
		orderLocally,
		readLocally,
		async order(request) {
			const endAt = clock.now() + settings.ackMs - ATTEMPT_MS;
			let outcome: RolloutRequestOutcome = 'unavailable';
			let attempts = 0;
			do {
				if (attempts > 0) {
					// eslint-disable-next-line no-await-in-loop -- attempts are sequential
					await sleep(RESEND_MS);
				}

				attempts += 1;
				// eslint-disable-next-line no-await-in-loop -- attempts are sequential
				outcome = await (replica.isLeader()
					? orderLocally(request)
					: leader.orderRollout(request));
			} while (outcome === 'unavailable' && clock.now() < endAt);

			metrics.count('rollout_orders', {outcome});
			log.info('A roll-out was ordered.', {...request, outcome, attempts});
			return outcome;
		},
		read: async (service) =>
			replica.isLeader() ? readLocally(service) : leader.readRollout(service),
	};
}
