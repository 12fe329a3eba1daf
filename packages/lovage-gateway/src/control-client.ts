import {
	type AgesRequest,
	type ControlReport,
	decodeControlReport,
	decodeOriginAnswer,
	type EntryReport,
	type KnownRevision,
	type SharedEntryReport,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PeerClient} from '@lovagevalve/runtime';
import {
	callControl,
	MALFORMED_ANSWER,
	readConfigurationText,
} from './control-call.js';
import type {Guard} from './guard.js';
import {
	lookUpOrigin,
	type OriginLookup,
	type OriginQuery,
} from './origin-lookup.js';
import type {OriginsUpdate} from './stream-origins.js';

/** Dependencies and callbacks of a control client. */
export type ControlClientOptions = Readonly<{
	clock: Clock;
	log: Logger;
	client: PeerClient;
	/**
	 * Configured addresses of control instances, for traffic between instances.
	 */
	readSeeds: () => readonly string[];
	createReport: () => SharedEntryReport;
	/** Origins of streams recorded after a sequence number. */
	createOriginsUpdate: (after: number) => OriginsUpdate;
	/** Ages of registrations to request from the primary control instance. */
	createAgesRequest: () => AgesRequest;
	onReport: (control: string, report: ControlReport) => void;
	/** Receives the text of a configuration that is newer than the active one. */
	onConfiguration: (text: string) => void;
	/** Guard of the exchanges, so that one of them doesn't end the others. */
	guard: Guard;
}>;

/** Exchanges reports with the control instances and fetches configurations. */
export type ControlClient = Readonly<{
	/**
	 * Sends the periodic report: to the primary control instance and new ones,
	 * and in a full round to all of them.
	 */
	report: () => void;
	/**
	 * Reports to every control instance without a pending report, and resolves
	 * when each has responded or timed out.
	 */
	reportToAll: () => Promise<void>;
	/** Asks all control instances for the origin of a stream. */
	lookUpOrigin: (query: OriginQuery) => Promise<OriginLookup>;
	countReachable: () => number;
	/** Sequence number of the last origin that a control instance has confirmed. */
	readConfirmedOrigin: () => number;
}>;

type Peer = {
	isBusy: boolean;
	answeredAt: number | undefined;
	isUnreachable: boolean;
	/** Version of the newest configuration that this peer knows. */
	version: number;
	/** Last revision of the backend servers received from this peer. */
	knownRevision: KnownRevision | undefined;
	/** Revision of the advertised entries received from this peer. */
	knownServing: KnownRevision | undefined;
	/** Sequence number of the last origin of a stream that this peer received. */
	originSequence: number;
};

/**
 * A control instance responds within milliseconds; one that takes longer is
 * stalled.
 */
const REPORT_TIMEOUT_MS = 800;
/** Allows a configuration with hundreds of routes to cross a slow link. */
const CONFIGURATION_TIMEOUT_MS = 1500;
/** A control instance that no other one lists is removed after this time. */
const PEER_RETENTION_MS = 30_000;
/**
 * Every n-th round goes to all control instances, not only to the primary one.
 * They gossip departures of backend servers to each other immediately.
 */
const FULL_ROUND_PERIOD = 3;
/**
 * Time for which an entry without a configuration waits for all control
 * instances, since the first that answers may not have the newest one. More than
 * the time until a connection to an instance that is down fails.
 */
const FIRST_CONFIGURATION_WAIT_MS = 400;
const MAX_PEERS = 16;
const REACHABLE_WINDOW_MS = 1500;
/** A control instance that is silent for longer is taken for lost, not for cut off. */
const MAX_CUT_OFF_MS = 15_000;

/**
 * Creates a client that reports to every control instance, so that the loss of
 * one delays nothing. Data that all of them share is requested only from the
 * primary one: more than a hundred backend servers, sent by each, would
 * saturate the links of small instances.
 */
export function createControlClient(
	options: ControlClientOptions,
): ControlClient {
	const {
		clock,
		log,
		client,
		readSeeds,
		createReport,
		createAgesRequest,
		guard,
	} = options;
	const peers = new Map<string, Peer>();
	const advertisedAt = new Map<string, number>();
	let isFetching = false;
	let primaryPeer: string | undefined;
	let round = 0;
	let firstVersionAt: number | undefined;

	const readPeer = (address: string): Peer => {
		const peer = peers.get(address) ?? {
			isBusy: false,
			answeredAt: undefined,
			isUnreachable: false,
			version: 0,
			knownRevision: undefined,
			knownServing: undefined,
			originSequence: 0,
		};
		peers.set(address, peer);
		return peer;
	};

	const removeStalePeers = (): void => {
		const seeds = readSeeds();
		[...advertisedAt]
			.filter(([, at]) => clock.now() - at > PEER_RETENTION_MS)
			.forEach(([address]) => {
				advertisedAt.delete(address);
			});
		[...peers.keys()]
			.filter(
				(address) => !advertisedAt.has(address) && !seeds.includes(address),
			)
			.forEach((address) => {
				peers.delete(address);
			});
	};

	const listAddresses = (): readonly string[] =>
		[...new Set([...advertisedAt.keys(), ...readSeeds()])].slice(0, MAX_PEERS);

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
		response.match(
			(text) => {
				options.onConfiguration(text);
			},
			(reason) => {
				log.warn('Failed to fetch a configuration.', {
					control: address,
					version,
					reason,
				});
				if (reason === MALFORMED_ANSWER) {
					// Until its next report, another one is asked.
					readPeer(address).version = 0;
					fetchNewest(ownVersion);
				}
			},
		);
	};

	/** Chooses the control instance to fetch a configuration from, if one is due. */
	const chooseConfigurationSource = (
		ownVersion: number,
	): Readonly<{address: string; version: number}> | undefined => {
		const now = clock.now();
		const known = listAddresses().map((address) => {
			const {version, isUnreachable, answeredAt} = readPeer(address);
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

	const fetchNewest = (ownVersion: number): void => {
		const source = chooseConfigurationSource(ownVersion);
		if (source !== undefined) {
			void guard.settle(
				fetchConfiguration(source.address, source.version, ownVersion),
			);
		}
	};

	const markUnreachable = (
		address: string,
		peer: Peer,
		reason: string,
	): void => {
		if (!peer.isUnreachable) {
			peer.isUnreachable = true;
			log.warn('Control instance is unreachable.', {control: address, reason});
		}
	};

	const applyReport = (
		address: string,
		peer: Peer,
		report: ControlReport,
		ownVersion: number,
	): void => {
		const now = clock.now();
		if (peer.isUnreachable || peer.answeredAt === undefined) {
			log.info('Control instance is reachable.', {
				control: address,
				version: report.version,
			});
		}

		peer.isUnreachable = false;
		peer.answeredAt = now;
		peer.version = report.version;
		if (peer.knownRevision?.epoch !== report.known.epoch) {
			// It has started again, and holds no origin that was sent before.
			peer.originSequence = 0;
		}

		peer.knownRevision = report.known;
		if (report.overview !== undefined) {
			// The list in use is that of the last primary control instance.
			peers.forEach((other) => {
				other.knownServing = undefined;
			});
			peer.knownServing = report.overview.servingRevision;
		}

		report.controls.forEach((control) => advertisedAt.set(control, now));
		options.onReport(address, report);
		fetchNewest(ownVersion);
	};

	/**
	 * All entries pick the same instance, which then has the most complete view
	 * of their load.
	 */
	const choosePrimaryPeer = (
		addresses: readonly string[],
	): string | undefined =>
		addresses
			.filter((address) => {
				const {isBusy, isUnreachable} = readPeer(address);
				return !isBusy && !isUnreachable;
			})
			.toSorted()[0];

	const sendReport = async (address: string): Promise<void> => {
		const peer = readPeer(address);
		if (peer.isBusy) {
			return;
		}

		const isPrimary = address === primaryPeer;
		const update = options.createOriginsUpdate(peer.originSequence);
		const report: EntryReport = {
			...createReport(),
			...(update.origins.length > 0 ? {origins: update.origins} : {}),
			known: peer.knownRevision,
			knownServing: peer.knownServing,
			wantsOverview: isPrimary,
			...(isPrimary ? createAgesRequest() : {wantsAges: false}),
		};
		peer.isBusy = true;
		const response = await callControl(
			client,
			{
				address,
				path: '/report',
				body: report,
				timeoutMs: REPORT_TIMEOUT_MS,
			},
			decodeControlReport,
		);
		peer.isBusy = false;
		response.match(
			(found) => {
				if (found.known.epoch === report.known?.epoch) {
					peer.originSequence = update.sequence;
				}

				applyReport(address, peer, found, report.version);
				if (found.hasMore === true && address === primaryPeer) {
					void guard.settle(sendReport(address));
				}
			},
			(reason) => {
				markUnreachable(address, peer, reason);
				fetchNewest(report.version);
			},
		);
	};

	const servedLately = (address: string): boolean => {
		const {answeredAt} = readPeer(address);
		return (
			answeredAt !== undefined && clock.now() - answeredAt < MAX_CUT_OFF_MS
		);
	};

	return {
		report() {
			removeStalePeers();
			const addresses = listAddresses();
			primaryPeer = choosePrimaryPeer(addresses);
			round += 1;
			const isFullRound = round % FULL_ROUND_PERIOD === 0;
			const targets = addresses.filter(
				(address) =>
					isFullRound ||
					address === primaryPeer ||
					readPeer(address).knownRevision === undefined,
			);
			targets.forEach((address) => {
				void guard.settle(sendReport(address));
			});
		},
		async reportToAll() {
			await Promise.all(
				listAddresses().map(async (address) =>
					guard.settle(sendReport(address)),
				),
			);
		},
		lookUpOrigin: async (query) =>
			lookUpOrigin(listAddresses(), query, async (address, body, timeoutMs) => {
				const response = await client.call<unknown>(
					address,
					'/stream-origin',
					body,
					timeoutMs,
				);
				return response.match(
					(answer) => decodeOriginAnswer(answer) ?? 'silent',
					(reason) =>
						reason === 'ECONNREFUSED' || !servedLately(address)
							? 'ended'
							: 'silent',
				);
			}),
		readConfirmedOrigin: () =>
			Math.max(0, ...[...peers.values()].map((peer) => peer.originSequence)),
		countReachable: () =>
			[...peers.values()].filter(
				({answeredAt}) =>
					answeredAt !== undefined &&
					clock.now() - answeredAt < REACHABLE_WINDOW_MS,
			).length,
	};
}
