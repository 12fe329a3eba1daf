import type {
	BackendRecord,
	ControlReport,
	EntryReport,
} from '@lovagevalve/dispatch';
import type {
	JsonResponse,
	Logger,
	PrometheusMetrics,
} from '@lovagevalve/runtime';
import type {Result} from 'neverthrow';
import type {CrashQuarantine} from './crash-quarantine.js';
import {
	decodeDeparture,
	decodeGossip,
	decodeJoiningMember,
	decodeOriginQuery,
	decodeProposal,
	decodeRaftDelivery,
	type ReadOutcome,
	type ReceivedGossip,
} from './decode-messages.js';
import {decodeReport} from './decode-report.js';
import type {ReplicaStatus} from './group-joiner.js';
import type {Registry} from './registry.js';
import type {Replica} from './replica.js';
import type {Rollouts} from './rollouts.js';

/** Parts of a control instance that other instances call. */
export type InstanceCallsOptions = Readonly<{
	log: Logger;
	metrics: Pick<PrometheusMetrics, 'count'>;
	replica: Replica;
	registry: Registry;
	quarantine: CrashQuarantine;
	/** Stores departures; resolves with whether all are durable here. */
	keepDepartures: (records: readonly BackendRecord[]) => Promise<boolean>;
	readStatus: () => ReplicaStatus;
	/** Version of the newest configuration that is known here. */
	readVersion: () => number;
	/** Reads the configuration if this instance leads. */
	readLocally: () => Promise<ReadOutcome>;
	/** Roll-outs, where they are in force. */
	rollouts?: Pick<Rollouts, 'applyReport' | 'handleCall'>;
	/** Addresses of the control instances for traffic between instances. */
	listControls: () => readonly string[];
}>;

/** Handles a call of another instance; `body` is what its text held. */
export type InstanceCalls = (
	path: string,
	body: unknown,
) => Promise<JsonResponse>;

/** Creates the handler of the calls of entries and other control instances. */
export function createInstanceCalls({
	log,
	metrics,
	replica,
	registry,
	quarantine,
	keepDepartures,
	readStatus,
	readVersion,
	readLocally,
	listControls,
	rollouts,
}: InstanceCallsOptions): InstanceCalls {
	const handleReport = (report: EntryReport): ControlReport => {
		registry.applyReport(report);
		quarantine.applyReport(report, registry.find);
		return {
			...registry.createReportResponse(report),
			...quarantine.describe(),
			...rollouts?.applyReport(report),
			version: readVersion(),
			controls: listControls(),
		};
	};

	/** Handles a message, or refuses all of a malformed one. */
	const handleDecoded = async <T>(
		path: string,
		message: Result<T, string>,
		handle: (value: T) => unknown,
	): Promise<JsonResponse> => {
		if (message.isErr()) {
			metrics.count('malformed_messages', {path});
			log.warn('Refused a malformed message of an instance.', {
				path,
				reason: message.error,
			});
			return {status: 400, body: {error: message.error}};
		}

		return {status: 200, body: await handle(message.value)};
	};

	const handleGossip = async ({
		backends,
		convictedMs,
		unusable,
	}: ReceivedGossip): Promise<Readonly<{isStored: boolean}>> => {
		if (unusable > 0) {
			log.warn('Left out backend servers that no request can be sent to.', {
				unusable,
			});
		}

		registry.merge(backends);
		quarantine.mergeConvictions(convictedMs);
		// A newer incarnation may be known here by now.
		const departing = backends.flatMap(({id, bornAt, state}) => {
			const known = registry.find(id);
			return state !== 'ready' && known?.bornAt === bornAt ? [known] : [];
		});
		return {isStored: await keepDepartures(departing)};
	};

	return async (path, body) => {
		switch (path) {
			case '/raft': {
				return handleDecoded(
					path,
					decodeRaftDelivery(body),
					({from, messages}) => {
						replica.receive(from, messages);
					},
				);
			}

			case '/status': {
				return {status: 200, body: readStatus()};
			}

			case '/join': {
				return handleDecoded(path, decodeJoiningMember(body), replica.join);
			}

			case '/leave': {
				return handleDecoded(path, decodeDeparture(body), (departure) => ({
					isRemoved: replica.leave(departure),
				}));
			}

			case '/propose': {
				return handleDecoded(
					path,
					decodeProposal(body),
					async (configuration) => ({
						outcome: await replica.propose(configuration),
					}),
				);
			}

			case '/read': {
				return {status: 200, body: await readLocally()};
			}

			case '/report': {
				return handleDecoded(path, decodeReport(body), handleReport);
			}

			case '/stream-origin': {
				return handleDecoded(
					path,
					decodeOriginQuery(body),
					registry.findOrigin,
				);
			}

			case '/configuration': {
				const {configuration} = replica.readState();
				return configuration === undefined
					? {status: 404}
					: {status: 200, body: configuration};
			}

			case '/gossip': {
				return handleDecoded(path, decodeGossip(body), handleGossip);
			}

			default: {
				const answer = await rollouts?.handleCall(path, body, handleDecoded);
				return answer ?? {status: 404};
			}
		}
	};
}
