import type {ControlReport, EntryReport} from '@lovagevalve/dispatch';
import {encodeRollouts} from '@lovagevalve/rollout';
import type {
	Clock,
	JsonResponse,
	Logger,
	PrometheusMetrics,
} from '@lovagevalve/runtime';
import type {Result} from 'neverthrow';
import type {LeaderClient} from './leader-client.js';
import type {Registry} from './registry.js';
import type {Replica} from './replica.js';
import {
	createReplicatedRollouts,
	type ReplicatedRollouts,
	type RolloutSettings,
} from './replicated-rollouts.js';
import {createRolloutCounts} from './rollout-counts.js';
import {createRolloutLeader, sumShares} from './rollout-leader.js';
import {
	decodeRolloutQuestion,
	decodeRolloutRequest,
} from './rollout-messages.js';

/** Dependencies of the roll-outs of a control instance. */
export type RolloutsOptions = Readonly<{
	clock: Clock;
	log: Logger;
	metrics: Pick<PrometheusMetrics, 'count' | 'registerGauge'>;
	replica: Pick<Replica, 'readState' | 'isLeader' | 'propose' | 'confirmRead'>;
	registry: Pick<Registry, 'listBackends' | 'listSilent'>;
	leader: LeaderClient;
	settings: RolloutSettings;
}>;

/** Answers a call with what was decoded of it, or refuses a malformed one. */
export type HandleDecoded = <T>(
	path: string,
	message: Result<T, string>,
	handle: (value: T) => unknown,
) => Promise<JsonResponse>;

/** Roll-outs at a control instance, where they are in force. */
export type Rollouts = Readonly<{
	order: ReplicatedRollouts['order'];
	read: ReplicatedRollouts['read'];
	/** Called several times a second. */
	tick: () => Promise<void>;
	/** Takes an entry's counts; returns the decisions if it knows older ones. */
	applyReport: (
		report: EntryReport,
	) => Pick<ControlReport, 'rollouts' | 'judgesRollouts'>;
	/** Handles a call of another instance; undefined if it isn't on roll-outs. */
	handleCall: (
		path: string,
		body: unknown,
		handleDecoded: HandleDecoded,
	) => Promise<JsonResponse | undefined>;
}>;

/** Creates the roll-outs of a control instance. */
export function createRollouts(options: RolloutsOptions): Rollouts {
	const {clock, metrics, replica} = options;
	const counts = createRolloutCounts(clock);
	const {tick, isJudging, findServedVersion} = createRolloutLeader({
		...options,
		counts,
	});
	const {order, read, orderLocally, readLocally} = createReplicatedRollouts({
		...options,
		findServedVersion,
	});
	metrics.registerGauge('rollout_share', () =>
		sumShares(replica.readState().rollouts),
	);
	return {
		order,
		read,
		tick,
		applyReport(report) {
			counts.applyReport(report);
			const {rollouts, rolloutRevision} = replica.readState();
			if (report.rollouts === undefined) {
				return {};
			}

			return {
				...(isJudging() ? {judgesRollouts: true} : {}),
				...(report.rollouts.revision < rolloutRevision
					? {
							rollouts: {
								revision: rolloutRevision,
								services: encodeRollouts(rollouts),
							},
						}
					: {}),
			};
		},
		async handleCall(path, body, handleDecoded) {
			switch (path) {
				case '/rollout': {
					return handleDecoded(
						path,
						decodeRolloutRequest(body),
						async (request) => ({outcome: await orderLocally(request)}),
					);
				}

				case '/rollout-read': {
					return handleDecoded(path, decodeRolloutQuestion(body), readLocally);
				}

				default: {
					return undefined;
				}
			}
		},
	};
}
