import type {ControlReport, KnownRevision} from '@lovagevalve/dispatch';
import type {Clock, Logger} from '@lovagevalve/runtime';

/** What an entry knows of a control instance. */
export type ControlPeer = {
	/** A report to it is under way. */
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

/** Dependencies of the control instances that an entry knows. */
export type ControlPeersOptions = Readonly<{
	clock: Clock;
	log: Logger;
	/**
	 * Configured addresses of control instances, for traffic between instances.
	 */
	readSeeds: () => readonly string[];
}>;

/** The control instances that an entry knows, by address. */
export type ControlPeers = Readonly<{
	/** Addresses of those that are configured or that others listed lately. */
	listAddresses: () => readonly string[];
	read: (address: string) => ControlPeer;
	/** Applies what a control instance answered to a report. */
	recordReport: (
		address: string,
		peer: ControlPeer,
		report: ControlReport,
	) => void;
	/** Records that a control instance did not answer a report. */
	recordFailure: (address: string, peer: ControlPeer, reason: string) => void;
	removeStale: () => void;
	/**
	 * Chooses the primary one. All entries choose the same instance, which then has
	 * the most complete view of their load.
	 */
	choosePrimary: () => string | undefined;
	/** Whether one served so lately that its silence may be a cut connection. */
	servedLately: (address: string) => boolean;
	countReachable: () => number;
	/** Sequence number of the last origin that a control instance has confirmed. */
	readConfirmedOrigin: () => number;
}>;

/** A control instance that no other one lists is removed after this time. */
const PEER_RETENTION_MS = 30_000;
const MAX_PEERS = 16;
const REACHABLE_WINDOW_MS = 1500;
/** A control instance that is silent for longer is taken for lost, not for cut off. */
const MAX_CUT_OFF_MS = 15_000;

/** Creates the control instances of an entry that has heard of none. */
export function createControlPeers({
	clock,
	log,
	readSeeds,
}: ControlPeersOptions): ControlPeers {
	const peers = new Map<string, ControlPeer>();
	const advertisedAt = new Map<string, number>();

	const read = (address: string): ControlPeer => {
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

	const listAddresses = (): readonly string[] =>
		[...new Set([...advertisedAt.keys(), ...readSeeds()])].slice(0, MAX_PEERS);

	const hasAnsweredWithin = (
		{answeredAt}: ControlPeer,
		windowMs: number,
	): boolean => answeredAt !== undefined && clock.now() - answeredAt < windowMs;

	return {
		listAddresses,
		read,
		recordReport(address, peer, report) {
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
		},
		recordFailure(address, peer, reason) {
			if (!peer.isUnreachable) {
				peer.isUnreachable = true;
				log.warn('Control instance is unreachable.', {
					control: address,
					reason,
				});
			}
		},
		removeStale() {
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
		},
		choosePrimary: () =>
			listAddresses()
				.filter((address) => {
					const {isBusy, isUnreachable} = read(address);
					return !isBusy && !isUnreachable;
				})
				.toSorted()[0],
		servedLately: (address) => hasAnsweredWithin(read(address), MAX_CUT_OFF_MS),
		countReachable: () =>
			[...peers.values()].filter((peer) =>
				hasAnsweredWithin(peer, REACHABLE_WINDOW_MS),
			).length,
		readConfirmedOrigin: () =>
			Math.max(0, ...[...peers.values()].map((peer) => peer.originSequence)),
	};
}
