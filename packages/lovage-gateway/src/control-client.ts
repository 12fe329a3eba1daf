import {
	type AgesRequest,
	type ControlReport,
	decodeControlReport,
	decodeOriginAnswer,
	type EntryReport,
	type SharedEntryReport,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PeerClient} from '@lovagevalve/runtime';
import {createConfigurationFetch} from './configuration-fetch.js';
import {callControl} from './control-call.js';
import {createControlPeers} from './control-peers.js';
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
	/** What was measured of backend servers, if the primary control instance is due to get it. */
	createSpeedsUpdate: (control: string) => Pick<EntryReport, 'speeds'>;
	/** Ages of registrations to request from the primary control instance. */
	createAgesRequest: () => AgesRequest;
	/** Control instance that gets each report, as it judges roll-outs by them. */
	readJudge?: () => string | undefined;
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

/**
 * A control instance responds within milliseconds; one that takes longer is
 * stalled.
 */
const REPORT_TIMEOUT_MS = 800;
/**
 * Every n-th round goes to all control instances, not only to the primary one.
 * They gossip departures of backend servers to each other immediately.
 */
const FULL_ROUND_PERIOD = 3;

/**
 * Creates a client that reports to every control instance, so that the loss of
 * one delays nothing. Data that all of them share is requested only from the
 * primary one: more than a hundred backend servers, sent by each, would
 * saturate the links of small instances.
 */
export function createControlClient(
	options: ControlClientOptions,
): ControlClient {
	const {client, createReport, createAgesRequest, onReport, guard} = options;
	const peers = createControlPeers(options);
	const fetchNewest = createConfigurationFetch({...options, peers});
	let primaryPeer: string | undefined;
	let round = 0;

	const sendReport = async (address: string): Promise<void> => {
		const peer = peers.read(address);
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
			...(isPrimary ? options.createSpeedsUpdate(address) : {}),
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

				peers.recordReport(address, peer, found);
				onReport(address, found);
				fetchNewest(report.version);
				if (found.hasMore === true && address === primaryPeer) {
					void guard.settle(sendReport(address));
				}
			},
			(reason) => {
				peers.recordFailure(address, peer, reason);
				fetchNewest(report.version);
			},
		);
	};

	return {
		report() {
			peers.removeStale();
			primaryPeer = peers.choosePrimary();
			round += 1;
			const isFullRound = round % FULL_ROUND_PERIOD === 0;
			const judge = options.readJudge?.();
			const targets = peers
				.listAddresses()
				.filter(
					(address) =>
						isFullRound ||
						address === primaryPeer ||
						address === judge ||
						peers.read(address).knownRevision === undefined,
				);
			targets.forEach((address) => {
				void guard.settle(sendReport(address));
			});
		},
		async reportToAll() {
			await Promise.all(
				peers
					.listAddresses()
					.map(async (address) => guard.settle(sendReport(address))),
			);
		},
		lookUpOrigin: async (query) =>
			lookUpOrigin(
				peers.listAddresses(),
				query,
				async (address, body, timeoutMs) => {
					const response = await client.call<unknown>(
						address,
						'/stream-origin',
						body,
						timeoutMs,
					);
					return response.match(
						(answer) => decodeOriginAnswer(answer) ?? 'silent',
						(reason) =>
							reason === 'ECONNREFUSED' || !peers.servedLately(address)
								? 'ended'
								: 'silent',
					);
				},
			),
		readConfirmedOrigin: peers.readConfirmedOrigin,
		countReachable: peers.countReachable,
	};
}
