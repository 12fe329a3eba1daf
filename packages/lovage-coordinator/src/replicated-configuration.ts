import type {Logger, PrometheusMetrics} from '@lovagevalve/runtime';
import type {ReadOutcome} from './decode-messages.js';
import type {LeaderClient} from './leader-client.js';
import type {Replica} from './replica.js';
import type {StoredConfiguration} from './state-machine.js';

/** Dependencies of the replicated configuration. */
export type ReplicatedConfigurationOptions = Readonly<{
	log: Logger;
	metrics: Pick<PrometheusMetrics, 'count'>;
	replica: Pick<Replica, 'readState' | 'isLeader' | 'propose' | 'confirmRead'>;
	leader: Pick<LeaderClient, 'propose' | 'read'>;
}>;

/** The configuration that the group has committed. */
export type ReplicatedConfiguration = Readonly<{
	/** Version of the newest configuration that is known here; 0 if none is. */
	readVersion: () => number;
	/** Reads the configuration if this instance leads. */
	readLocally: () => Promise<ReadOutcome>;
	/** Reads the configuration here or at the leader. */
	read: () => Promise<ReadOutcome>;
	/**
	 * Resolves with true once this version or a higher one is committed, with
	 * false if that could not be confirmed.
	 */
	put: (configuration: StoredConfiguration) => Promise<boolean>;
}>;

/** Creates access to the configuration, from any instance of the group. */
export function createReplicatedConfiguration({
	log,
	metrics,
	replica,
	leader,
}: ReplicatedConfigurationOptions): ReplicatedConfiguration {
	const readVersion = (): number =>
		replica.readState().configuration?.version ?? 0;

	const readLocally = async (): Promise<ReadOutcome> => {
		if (!(await replica.confirmRead())) {
			return {kind: 'unavailable'};
		}

		const {configuration} = replica.readState();
		return configuration === undefined
			? {kind: 'none'}
			: {kind: 'found', configuration};
	};

	return {
		readVersion,
		readLocally,
		read: async () => (replica.isLeader() ? readLocally() : leader.read()),
		async put(configuration) {
			const {version} = configuration;
			if (version <= readVersion()) {
				return true;
			}

			const outcome = replica.isLeader()
				? await replica.propose(configuration)
				: await leader.propose(configuration);
			metrics.count('configurations', {outcome});
			log.info('A configuration was proposed.', {version, outcome});
			return outcome === 'committed';
		},
	};
}
