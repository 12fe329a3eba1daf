import type {Clock, Logger, PeerClient} from '@lovagevalve/runtime';
import {
	callControl,
	MALFORMED_ANSWER,
	readConfigurationText,
} from './control-call.js';
import type {ControlPeers} from './control-peers.js';
import type {Guard} from './guard.js';

/** Dependencies of the fetch of configurations. */
export type ConfigurationFetchOptions = Readonly<{
	clock: Clock;
	log: Logger;
	client: PeerClient;
	peers: ControlPeers;
	/** Receives the text of a configuration that is newer than the active one. */
	onConfiguration: (text: string) => void;
	guard: Guard;
}>;

/**
 * Fetches the newest configuration that a reachable control instance knows, if it
 * is newer than the entry's own version and none is being fetched.
 */
export type FetchNewest = (ownVersion: number) => void;

/** Allows a configuration with hundreds of routes to cross a slow link. */
const CONFIGURATION_TIMEOUT_MS = 1500;
/**
 * Time for which an entry without a configuration waits for all control
 * instances, since the first that answers may not have the newest one. More than
 * the time until a connection to an instance that is down fails.
 */
const FIRST_CONFIGURATION_WAIT_MS = 400;

/** Creates the fetch of configurations, one at a time. */
export function createConfigurationFetch({
	clock,
	log,
	client,
	peers,
	onConfiguration,
	guard,
}: ConfigurationFetchOptions): FetchNewest {
	let isFetching = false;
	let firstVersionAt: number | undefined;

	const fetchConfiguration = async (
		address: string,
		version: number,
		ownVersion: number,
	): Promise<void> => {
		if (isFetching) {
			return;
		}

		isFetching = true;
		const response = await callControl(
			client,
			{
				address,
				path: '/configuration',
				body: {version},
				timeoutMs: CONFIGURATION_TIMEOUT_MS,
			},
			readConfigurationText,
		);
		isFetching = false;
		response.match(onConfiguration, (reason) => {
			log.warn('Failed to fetch a configuration.', {
				control: address,
				version,
				reason,
			});
			if (reason === MALFORMED_ANSWER) {
				// Until its next report, another one is asked.
				peers.read(address).version = 0;
				fetchNewest(ownVersion);
			}
		});
	};

	/** Chooses the control instance to fetch a configuration from, if one is due. */
	const chooseSource = (
		ownVersion: number,
	): Readonly<{address: string; version: number}> | undefined => {
		const now = clock.now();
		const known = peers.listAddresses().map((address) => {
			const {version, isUnreachable, answeredAt} = peers.read(address);
			const hasSettled = isUnreachable || answeredAt !== undefined;
			return {address, version, isUnreachable, hasSettled};
		});
		const newest = known
			.filter(({isUnreachable}) => !isUnreachable)
			.toSorted((a, b) => b.version - a.version)
			.at(0);
		if (newest === undefined || newest.version <= ownVersion) {
			return undefined;
		}

		firstVersionAt ??= now;
		const isDue =
			ownVersion > 0 ||
			known.every(({hasSettled}) => hasSettled) ||
			now - firstVersionAt >= FIRST_CONFIGURATION_WAIT_MS;
		return isDue ? newest : undefined;
	};

	const fetchNewest: FetchNewest = (ownVersion) => {
		const source = chooseSource(ownVersion);
		if (source !== undefined) {
			void guard.settle(
				fetchConfiguration(source.address, source.version, ownVersion),
			);
		}
	};

	return fetchNewest;
}
