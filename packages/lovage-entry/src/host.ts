import {randomUUID} from 'node:crypto';
import {createStore, type Listener} from '@lovagevalve/core';
import {
	createEntry,
	stepEntry,
	type BackendAnnouncement,
	type CallInput,
	type EntryEffect,
	type EntryEvent,
	type EntryOptions,
	type EntryState,
	type ServiceLevelRecord,
	type GenerationInput,
	type GenerationLocation,
	type Quarantine,
} from '@lovagevalve/entry-role';
import type {Clock, Logger} from '@lovagevalve/runtime';
import type {CallRequest, GenerationRequest} from '@lovagevalve/wire';
import {createCallHost, isCallEffect, type CallEffect} from './call-host.js';
import type {ClaimsLink} from './claims-link.js';
import type {DeathsLink} from './deaths-link.js';
import type {Peers} from './peers.js';
import {
	createStreamHost,
	isStreamEffect,
	type StreamEffect,
} from './stream-host.js';

/** Links and sinks that the host runs effects through. */
export type HostLinks = Readonly<{
	claims: ClaimsLink;
	deaths: DeathsLink;
	peers: Peers;
	renewNow: () => void;
	record: (fact: ServiceLevelRecord) => void;
	onDrained: () => void;
}>;

/** Drives the decisions of one entry over real connections. */
export type EntryHost = Readonly<{
	readState: () => EntryState;
	update: (event: EntryEvent) => void;
	openStream: (
		req: GenerationRequest,
		keyHash: string,
		input: GenerationInput,
	) => Promise<Response>;
	openCall: (
		req: CallRequest,
		keyHash: string,
		input: CallInput,
	) => Promise<Response>;
	takeAnnouncement: (
		announcement: BackendAnnouncement,
		isDirect: boolean,
	) => void;
	registerPlace: (place: GenerationLocation) => void;
	learnQuarantine: (quarantine: Quarantine) => void;
	acknowledgeDeaths: (
		deaths: ReadonlyArray<Readonly<{backend: string; incarnation: number}>>,
		quarantine: Quarantine,
	) => void;
	/** Hears of each finished state; the function returned stops that. */
	registerListener: (listener: Listener<EntryState>) => () => void;
	tick: () => void;
	heartbeat: () => void;
}>;

/** What the host needs of its program. */
export type HostOptions = Readonly<{
	entry: EntryOptions;
	cursorSecret: string;
	clock: Clock;
	log: Logger;
	createLinks: (host: Pick<EntryHost, 'readState'>) => HostLinks;
}>;

/** Creates the host of one entry. */
export function createEntryHost(options: HostOptions): EntryHost {
	const {clock, log, cursorSecret} = options;
	const {random} = Math;
	const store = createStore<EntryState, EntryEvent, EntryEffect>(
		stepEntry,
		createEntry(options.entry),
		(effect) => {
			runEffect(effect);
		},
	);
	const readState = store.read;
	const {update} = store;
	const parts = {clock, cursorSecret, readState, update, random};
	const streams = createStreamHost(parts);
	const calls = createCallHost(parts);
	const links = options.createLinks({readState});

	const registerHome = async (
		effect: Extract<EntryEffect, {kind: 'register-home'}>,
	): Promise<void> => {
		const {stream, home, address, place} = effect;
		const answer = await links.peers.register(address, place);
		const now = clock.now();
		update({
			kind: 'home-answered',
			stream,
			home,
			answer,
			now,
			random: random(),
		});
	};

	const runClaim = async (effect: Parameters<ClaimsLink>[0]): Promise<void> => {
		const answer = await links.claims(effect);
		const {call} = effect;
		const now = clock.now();
		update({kind: 'claim-answered', call, answer, now, random: random()});
	};

	const runEffect = (effect: EntryEffect): void => {
		if (isStreamEffect(effect)) {
			streams.run(effect);
		} else if (isCallEffect(effect)) {
			calls.run(effect);
		} else {
			runLinkEffect(effect);
		}
	};

	const runLinkEffect = (
		effect: Exclude<EntryEffect, StreamEffect | CallEffect>,
	): void => {
		switch (effect.kind) {
			case 'open-claim':
			case 'refuse-claim':
			case 'settle-claim': {
				void runClaim(effect);
				return;
			}

			case 'register-home': {
				void registerHome(effect);
				return;
			}

			case 'update-home': {
				links.peers.update(effect.address, effect.place);
				return;
			}

			case 'forget-home': {
				links.peers.forget(effect.address, effect.place);
				return;
			}

			case 'release-generation': {
				links.peers.release(effect.address, effect.generation);
				return;
			}

			case 'relay-announcement': {
				links.peers.relay(effect.announcement);
				return;
			}

			case 'report-death': {
				log.warn('Backend server died.', {backend: effect.backend});
				links.deaths(effect);
				return;
			}

			case 'report-completed': {
				links.deaths(effect);
				return;
			}

			case 'renew-lease': {
				links.renewNow();
				return;
			}

			case 'record': {
				links.record(effect.record);
				return;
			}

			case 'drained': {
				links.onDrained();
			}
		}
	};

	const moment = () => ({now: clock.now(), random: random()});

	return {
		readState,
		update,
		async openStream(req, keyHash, input) {
			const stream = randomUUID();
			const caller = streams.add(stream, req);
			update({
				kind: 'generation-requested',
				stream,
				keyHash,
				generation: randomUUID(),
				input,
				...moment(),
			});
			return caller.response;
		},
		async openCall(req, keyHash, input) {
			const call = randomUUID();
			const response = calls.add(call, req);
			update({kind: 'call-requested', call, keyHash, input, ...moment()});
			return response;
		},
		takeAnnouncement(announcement, isDirect) {
			update({kind: 'backend-announced', announcement, isDirect, ...moment()});
		},
		registerPlace(place) {
			update({kind: 'place-registered', place, now: clock.now()});
		},
		learnQuarantine(quarantine) {
			update({kind: 'quarantine-learned', quarantine, ...moment()});
		},
		acknowledgeDeaths(deaths, quarantine) {
			update({
				kind: 'deaths-acknowledged',
				deaths,
				quarantine,
				...moment(),
			});
		},
		registerListener: store.registerListener,
		tick() {
			update({kind: 'ticked', ...moment()});
		},
		heartbeat: streams.heartbeat,
	};
}
