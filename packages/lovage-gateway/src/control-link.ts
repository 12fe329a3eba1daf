import type {
	ControlReport,
	EntryReport,
	KnownRevision,
	SharedEntryReport,
} from '@lovagevalve/dispatch';
import type {Clock, Logger, PeerClient} from '@lovagevalve/runtime';

/** What the link works with. */
export type ControlLinkParts = Readonly<{
	clock: Clock;
	log: Logger;
	client: PeerClient;
	/** Addresses from the settings, for traffic between instances. */
	readSeeds: () => readonly string[];
	createReport: () => SharedEntryReport;
	onReport: (control: string, report: ControlReport) => void;
	/** Gets the text of a configuration that is newer than the one in force. */
	onConfiguration: (text: string) => void;
}>;

/** Keeps an entry in touch with the control instances. */
export type ControlLink = Readonly<{
	/** Reports to every known control instance. */
	report: () => void;
	/** Reports until one has answered or the time is over. */
	announce: () => Promise<void>;
	countReachable: () => number;
}>;

type Peer = {
	isBusy: boolean;
	answeredAt: number | undefined;
	isLost: boolean;
	/** Revision of the backend servers that it told last. */
	known: KnownRevision | undefined;
};

/** A control instance answers within milliseconds; longer means that it stalls. */
const REPORT_TIMEOUT_MS = 800;
/** A configuration of hundreds of routes crosses a slow link in this time. */
const CONFIGURATION_TIMEOUT_MS = 1500;
/** A control instance that no other one names is forgotten after this. */
const FORGET_AFTER_MS = 30_000;
/** Ages of the registrations are refreshed this often; changes come with the next report. */
const AGES_INTERVAL_MS = 1000;
/** Rounds after which those are asked too that don't tell the overview; they tell each other at once what leaves. */
const FULL_ROUND_INTERVAL = 3;
const MAX_PEERS = 16;
const REACHABLE_MS = 1500;

/**
 * Creates the link. Every control instance is asked, so that the loss of one
 * delays nothing. What all of them know alike comes from one that answers at
 * the time: over a hundred backend servers, told by each, would fill the links
 * of small instances.
 */
export function createControlLink(parts: ControlLinkParts): ControlLink {
	const {clock, log, client, readSeeds, createReport} = parts;
	const peers = new Map<string, Peer>();
	const namedAt = new Map<string, number>();
	let isFetching = false;
	let leadingPeer: string | undefined;
	let round = 0;
	let agesAt = Number.NEGATIVE_INFINITY;

	const readPeer = (address: string): Peer => {
		const peer = peers.get(address) ?? {
			isBusy: false,
			answeredAt: undefined,
			isLost: false,
			known: undefined,
		};
		peers.set(address, peer);
		return peer;
	};

	const forgetUnnamed = (): void => {
		const seeds = readSeeds();
		[...namedAt]
			.filter(([, at]) => clock.now() - at > FORGET_AFTER_MS)
			.forEach(([address]) => {
				namedAt.delete(address);
			});
		[...peers.keys()]
			.filter((address) => !namedAt.has(address) && !seeds.includes(address))
			.forEach((address) => {
				peers.delete(address);
			});
	};

	const listAddresses = (): readonly string[] =>
		[...new Set([...namedAt.keys(), ...readSeeds()])].slice(0, MAX_PEERS);

	const fetchConfiguration = async (
		address: string,
		version: number,
	): Promise<void> => {
		if (isFetching) {
			return;
		}

		isFetching = true;
		const answer = await client.call<{text: string}>(
			address,
			'/configuration',
			{version},
			CONFIGURATION_TIMEOUT_MS,
		);
		isFetching = false;
		answer.match(
			({text}) => {
				parts.onConfiguration(text);
			},
			(reason) => {
				log.warn('A configuration could not be fetched.', {
					control: address,
					version,
					reason,
				});
			},
		);
	};

	const noteLoss = (address: string, peer: Peer, reason: string): void => {
		if (!peer.isLost) {
			peer.isLost = true;
			log.warn('A control instance is lost.', {control: address, reason});
		}
	};

	const takeIn = (
		address: string,
		peer: Peer,
		answer: ControlReport,
		ownVersion: number,
	): void => {
		const now = clock.now();
		if (peer.isLost || peer.answeredAt === undefined) {
			log.info('A control instance answers.', {
				control: address,
				version: answer.version,
			});
		}

		peer.isLost = false;
		peer.answeredAt = now;
		peer.known = answer.known;
		agesAt = answer.agesMs === undefined ? agesAt : now;
		answer.controls.forEach((control) => namedAt.set(control, now));
		parts.onReport(address, answer);
		if (answer.version > ownVersion) {
			void fetchConfiguration(address, answer.version);
		}
	};

	/** Entries choose the same one, which then knows the work of all best. */
	const chooseLeadingPeer = (
		addresses: readonly string[],
	): string | undefined =>
		addresses
			.filter((address) => {
				const {isBusy, isLost} = readPeer(address);
				return !isBusy && !isLost;
			})
			.toSorted()[0];

	const exchange = async (address: string): Promise<void> => {
		const peer = readPeer(address);
		if (peer.isBusy) {
			return;
		}

		peer.isBusy = true;
		const isLeading = address === leadingPeer;
		const report: EntryReport = {
			...createReport(),
			known: peer.known,
			wantsOverview: isLeading,
			wantsAges: isLeading && clock.now() - agesAt > AGES_INTERVAL_MS,
		};
		const answer = await client.call<ControlReport>(
			address,
			'/report',
			report,
			REPORT_TIMEOUT_MS,
		);
		peer.isBusy = false;
		answer.match(
			(found) => {
				takeIn(address, peer, found, report.version);
			},
			(reason) => {
				noteLoss(address, peer, reason);
			},
		);
	};

	return {
		report() {
			forgetUnnamed();
			const addresses = listAddresses();
			leadingPeer = chooseLeadingPeer(addresses);
			round += 1;
			const isFullRound = round % FULL_ROUND_INTERVAL === 0;
			const asked = addresses.filter(
				(address) =>
					isFullRound ||
					address === leadingPeer ||
					readPeer(address).known === undefined,
			);
			asked.forEach((address) => {
				void exchange(address);
			});
		},
		async announce() {
			await Promise.all(
				listAddresses().map(async (address) => exchange(address)),
			);
		},
		countReachable: () =>
			[...peers.values()].filter(
				({answeredAt}) =>
					answeredAt !== undefined && clock.now() - answeredAt < REACHABLE_MS,
			).length,
	};
}
