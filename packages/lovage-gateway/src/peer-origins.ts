import type {IncomingMessage, ServerResponse} from 'node:http';
import {parseOriginReports, type OriginReport} from '@lovagevalve/dispatch';
import {
	type BufferHolder,
	type Clock,
	type Logger,
	openExchangeAccount,
	type PeerClient,
	readRequestBody,
} from '@lovagevalve/runtime';
import type {GatewayContext} from './context.js';
import type {ControlClient} from './control-client.js';
import type {EntryPeers} from './entry-peers.js';
import type {Guard} from './guard.js';
import type {StreamOrigins} from './stream-origins.js';

/** Tells other entries where streams began that no control instance has heard of. */
export type PeerOrigins = Readonly<{stop: () => void}>;

/** Dependencies of a part that tells origins. */
export type PeerOriginsOptions = Readonly<{
	clock: Clock;
	log: Logger;
	random: () => number;
	origins: Pick<StreamOrigins, 'createTelling'>;
	controlClient: Pick<ControlClient, 'readConfirmedOrigin'>;
	peers: Pick<EntryPeers, 'listOthers'>;
	guard: Guard;
}>;

/** Path of the message; its host is an address, which no route has. */
const PATH = '/lovage/stream-origins';
const ADDRESS_PATTERN = /^[\d.]+:\d+$/;
const INTERVAL_MS = 100;
/** Control instances confirm an origin within a report interval, unless one is away. */
const UNCONFIRMED_MS = 400;
const TELL_TIMEOUT_MS = 300;
/** Number of entries that receive the message, so that one may fail. */
const TOLD_ENTRIES = 2;
const MAX_BODY_BYTES = 131_072;

/** Starts to tell other entries the origins that control instances don't confirm. */
export function startPeerOrigins(
	{
		clock,
		log,
		random,
		origins,
		controlClient,
		peers,
		guard,
	}: PeerOriginsOptions,
	client: Pick<PeerClient, 'call'>,
): PeerOrigins {
	let toldSequence = 0;
	let isBusy = false;
	let wasTelling = false;

	const tell = async (
		others: readonly string[],
		reports: readonly OriginReport[],
	): Promise<boolean> => {
		const start = Math.floor(random() * others.length);
		const targets = [...others.slice(start), ...others.slice(0, start)];
		const results = await Promise.all(
			targets
				.slice(0, TOLD_ENTRIES)
				.map(async (address) =>
					client.call(address, PATH, {origins: reports}, TELL_TIMEOUT_MS),
				),
		);
		return results.some((result) => result.isOk());
	};

	const run = async (): Promise<void> => {
		const others = peers.listOthers();
		const update = origins.createTelling(
			Math.max(toldSequence, controlClient.readConfirmedOrigin()),
			clock.now() - UNCONFIRMED_MS,
		);
		if (isBusy || others.length === 0 || update.origins.length === 0) {
			wasTelling &&= update.origins.length > 0;
			return;
		}

		isBusy = true;
		let isTold = false;
		try {
			isTold = await tell(others, update.origins);
		} finally {
			isBusy = false;
		}

		if (isTold) {
			toldSequence = update.sequence;
		}

		if (!wasTelling) {
			wasTelling = true;
			log.warn('Telling other entries where streams began.', {
				origins: update.origins.length,
				entries: others.length,
				isTold,
			});
		}
	};

	const timer = setInterval(() => {
		void guard.settle(run());
	}, INTERVAL_MS);
	return {
		stop() {
			clearInterval(timer);
		},
	};
}

/** Whether a request is another entry's message about streams that began there. */
export function isOriginsMessage({
	method,
	url,
	headers,
}: IncomingMessage): boolean {
	return (
		method === 'POST' &&
		url === PATH &&
		ADDRESS_PATTERN.test(headers.host ?? '')
	);
}

/** Takes over the origins that another entry tells; they are reported as this one's are. */
export async function receiveOrigins(
	ctx: Pick<GatewayContext, 'buffers' | 'clock' | 'metrics' | 'origins'>,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> {
	const holder: BufferHolder = {
		source: 'instances',
		name: req.socket.remoteAddress ?? '',
	};
	const outcome = await readRequestBody(req, {
		res,
		account: openExchangeAccount(ctx.buffers, holder, res),
		maxBytes: MAX_BODY_BYTES,
		limitMs: TELL_TIMEOUT_MS,
	});
	const reports =
		outcome.kind === 'read' && outcome.body !== undefined
			? parseOriginReports(new TextDecoder().decode(outcome.body))
			: undefined;
	if (reports === undefined) {
		res.writeHead(400, {'Content-Length': 0}).end();
		return;
	}

	reports.forEach(
		([key, service, softwareVersion, keepMs, incarnation, ageMs]) => {
			const origin = {service, softwareVersion};
			ctx.origins.recordTold(
				key,
				origin,
				keepMs,
				incarnation === undefined || ageMs === undefined
					? undefined
					: {incarnation, at: ctx.clock.wall() - ageMs},
			);
		},
	);
	ctx.metrics.count('told_origins');
	res
		.writeHead(200, {'Content-Type': 'application/json', 'Content-Length': 2})
		.end('{}');
}
