import {type BackendRecord, toAgedRecord} from '@lovagevalve/dispatch';
import type {Clock, PeerClient} from '@lovagevalve/runtime';
import type {CrashQuarantine} from './crash-quarantine.js';
import {decodeGossipOutcome, type Gossip} from './decode-messages.js';
import {selectGossipPart} from './gossip-parts.js';
import type {Registry} from './registry.js';

/** Dependencies of the gossip of a control instance. */
export type GossiperOptions = Readonly<{
	clock: Clock;
	client: PeerClient;
	registry: Pick<Registry, 'listBackends' | 'takePendingGossip'>;
	quarantine: Pick<CrashQuarantine, 'listConvictions'>;
	/** Addresses of the other control instances. */
	listPeers: () => readonly string[];
}>;

/** Sends registrations and convictions to all other control instances. */
export type Gossiper = Readonly<{
	/** Sends a record; each resolves with whether it is stored there. */
	sendRecord: (record: BackendRecord) => ReadonlyArray<Promise<boolean>>;
	/** Sends what registered here since the last message, without waiting for a round. */
	sendPending: () => void;
	/** Sends what is due in the next round. */
	sendRound: () => void;
}>;

/**
 * Number of rounds that together send all records, for instances that missed earlier
 * messages.
 */
const PERIOD_ROUNDS = 6;
const GOSSIP_TIMEOUT_MS = 400;

/** Creates the gossip of an instance, before its first round. */
export function createGossiper({
	clock,
	client,
	registry,
	quarantine,
	listPeers,
}: GossiperOptions): Gossiper {
	let round = 0;

	/** Each resolves with whether the departures of the message are stored there. */
	const send = (message: Gossip): ReadonlyArray<Promise<boolean>> =>
		listPeers().map(async (peer) => {
			// Failures are not logged: the next period sends the same records.
			const answer = await client.call<unknown>(
				peer,
				'/gossip',
				message,
				GOSSIP_TIMEOUT_MS,
			);
			return answer.andThen(decodeGossipOutcome).unwrapOr(false);
		});

	return {
		sendRecord: (record) =>
			send({backends: [toAgedRecord(record, clock.now())]}),
		sendPending() {
			void send({backends: registry.takePendingGossip()});
		},
		sendRound() {
			round += 1;
			const pending = registry.takePendingGossip();
			const all = registry.listBackends();
			const part = selectGossipPart(all, {round, period: PERIOD_ROUNDS});
			const backends =
				part.length === all.length ? part : [...pending, ...part];
			const isFirstPart = round % PERIOD_ROUNDS === 0;
			if (isFirstPart) {
				void send({backends, convictedMs: quarantine.listConvictions()});
			} else if (backends.length > 0) {
				void send({backends});
			}
		},
	};
}
