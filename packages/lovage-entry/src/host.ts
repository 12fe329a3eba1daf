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
import type {ClaimClient} from './claim-client.js';
import type {DeathReporter} from './death-reporter.js';
import type {Peers} from './peers.js';
import {
	createStreamHost,
	isStreamEffect,
	type StreamEffect,
} from './stream-host.js';

/** Clients and callbacks through which the host executes effects. */
export type HostLinks = Readonly<{
	claims: ClaimClient;
	deaths: DeathReporter;
	peers: Peers;
	renewNow: () => void;
	record: (measurement: ServiceLevelRecord) => void;
	onDrained: () => void;
}>;

/**
 * Connects the state machine of one entry to network connections and timers.
 */
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
	handleAnnouncement: (
		announcement: BackendAnnouncement,
		isDirect: boolean,
	) => void;
	registerLocation: (place: GenerationLocation) => void;
	updateQuarantine: (quarantine: Quarantine) => void;
	acknowledgeDeaths: (
		deaths: ReadonlyArray<Readonly<{backend: string; incarnation: number}>>,
		quarantine: Quarantine,
	) => void;
	/**
	 * Registers a listener for state changes; returns a function that removes it.
	 */
	registerListener: (listener: Listener<EntryState>) => () => void;
	tick: () => void;
	heartbeat: () => void;
}>;

/** Dependencies of the entry host. */
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
	const hostOptions = {clock, cursorSecret, readState, update, random};
	const streams = createStreamHost(hostOptions);
	const calls = createCallHost(hostOptions);
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

	const runClaim = async (
		effect: Parameters<ClaimClient>[0],
	): Promise<void> => {
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

	const createEventContext = () => ({now: clock.now(), random: random()});

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
				...createEventContext(),
			});
			return caller.response;
		},
		async openCall(req, keyHash, input) {
			const call = randomUUID();
			const response = calls.add(call, req);
			update({
				kind: 'call-requested',
				call,
				keyHash,
				input,
				...createEventContext(),
			});
			return response;
		},
		handleAnnouncement(announcement, isDirect) {
			update({
				kind: 'backend-announced',
				announcement,
				isDirect,
				...createEventContext(),
			});
		},
		registerLocation(place) {
			update({kind: 'place-registered', place, now: clock.now()});
		},
		updateQuarantine(quarantine) {
			update({kind: 'quarantine-learned', quarantine, ...createEventContext()});
		},
		acknowledgeDeaths(deaths, quarantine) {
			update({
				kind: 'deaths-acknowledged',
				deaths,
				quarantine,
				...createEventContext(),
			});
		},
		registerListener: store.registerListener,
		tick() {
			update({kind: 'ticked', ...createEventContext()});
		},
		heartbeat: streams.heartbeat,
	};
}
