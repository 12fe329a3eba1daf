import {configurationSchema} from '@lovagevalve/inventory';
import type {GenerationEvent} from '@lovagevalve/generation';
import {
	createEntry,
	DEFAULT_TIMINGS,
	stepEntry,
	type BackendAnnouncement,
	type EntryEffect,
	type EntryEvent,
	type EntryState,
	type HomeAnswer,
} from '../index.js';

export const KEY_HASH = `sha256:${'a'.repeat(64)}`;
const OPERATOR_HASH = `sha256:${'b'.repeat(64)}`;

export const configuration = configurationSchema.parse({
	inventory: {
		name: 'test',
		dataCentres: [
			{id: 'dc-1', region: 'r'},
			{id: 'dc-2', region: 'r'},
		],
		services: [
			{
				id: 'drafts',
				kind: 'engine',
				models: [{id: 'm', version: '1'}],
				workers: ['e1', 'e2', 'e3'].map((id) => ({
					id,
					dataCentre: 'dc-1',
					checksFencing: true,
				})),
			},
			{
				id: 'grants',
				kind: 'plain',
				workers: ['p1', 'p2'].map((id) => ({
					id,
					dataCentre: 'dc-1',
					checksFencing: false,
				})),
			},
		],
		customers: [{id: 'label', keyHash: KEY_HASH}],
		operators: [{id: 'op', keyHash: OPERATOR_HASH}],
	},
	rules: {nonIdempotent: [{service: 'grants', operation: 'grant'}]},
});

/** Runs one entry with a manual clock and returns the effects of each event. */
export class EntryDriver {
	state: EntryState = createEntry({
		id: 'entry-1',
		address: 'http://10.0.0.1',
		dataCentre: 'dc-1',
		incarnation: 'i1',
		...DEFAULT_TIMINGS,
	});

	now = 0;

	/** Applies an event and returns its effects. */
	apply(event: EntryEvent): readonly EntryEffect[] {
		const {state, effects} = stepEntry(this.state, event);
		this.state = state;
		return effects;
	}

	/** Renews the lease with this entry and two others. */
	renew(version = 1): readonly EntryEffect[] {
		const peer = (id: string, dataCentre: string) => ({
			id,
			address: `http://${id}`,
			dataCentre,
			state: 'serving' as const,
			incarnation: 'x',
		});
		return this.apply({
			kind: 'lease-granted',
			askedAt: this.now,
			now: this.now,
			grant: {
				leaseMs: 3000,
				version,
				configuration,
				entries: [peer('entry-2', 'dc-1'), peer('entry-3', 'dc-2')],
			},
		});
	}

	/** Renews the lease with the given number of other entries. */
	renewWithPeers(count: number): void {
		const {now} = this;
		const entries = Array.from({length: count}, (_, i) => ({
			id: `entry-${i + 2}`,
			address: `http://entry-${i + 2}`,
			dataCentre: 'dc-1',
			state: 'serving' as const,
			incarnation: 'x',
		}));
		const grant = {leaseMs: 3000, version: 1, configuration, entries};
		this.apply({kind: 'lease-granted', askedAt: now, now, grant});
	}

	/** Renews the lease as the only entry. */
	renewAlone(): void {
		const {now} = this;
		const grant = {leaseMs: 3000, version: 1, configuration, entries: []};
		this.apply({kind: 'lease-granted', askedAt: now, now, grant});
	}

	announce(
		id: string,
		change: Partial<BackendAnnouncement> = {},
	): readonly EntryEffect[] {
		const announcement: BackendAnnouncement = {
			id,
			service: id.startsWith('p') ? 'grants' : 'drafts',
			dataCentre: 'dc-1',
			address: `http://${id}`,
			incarnation: 1,
			sequence: this.now,
			state: 'serving',
			capacity: 2,
			models: [{id: 'm', version: '1', adapters: []}],
			load: {running: 0, waiting: 0},
			cacheEvents: [],
			...change,
		};
		return this.apply({
			kind: 'backend-announced',
			announcement,
			isDirect: true,
			now: this.now,
			random: 0.5,
		});
	}

	requestGeneration(
		stream: string,
		change: Partial<
			Extract<EntryEvent, {kind: 'generation-requested'}>['input']
		> = {},
	): readonly EntryEffect[] {
		const requested = this.apply({
			kind: 'generation-requested',
			stream,
			keyHash: KEY_HASH,
			generation: `g-${stream}`,
			input: {
				requestId: `r-${stream}`,
				service: 'drafts',
				promptBytes: 10,
				maxTokens: 100,
				digest: 'd',
				prefixes: [],
				hasDelivered: false,
				...change,
			},
			now: this.now,
			random: 0.5,
		});
		const asked = filterEffects(requested, 'register-home');
		return [
			...requested,
			...asked.flatMap(({home}) => this.answerHome(stream, home)),
		];
	}

	/** Answers for a home entry, by default that it has no location of the request. */
	answerHome(
		stream: string,
		home: string,
		answer?: HomeAnswer,
	): readonly EntryEffect[] {
		return this.apply({
			kind: 'home-answered',
			stream,
			home,
			answer: answer ?? {kind: 'absent'},
			now: this.now,
			random: 0.5,
		});
	}

	requestCall(call: string, operation = 'grant'): readonly EntryEffect[] {
		return this.apply({
			kind: 'call-requested',
			call,
			keyHash: KEY_HASH,
			input: {
				requestId: `r-${call}`,
				attempt: 1,
				service: 'grants',
				operation,
				digest: 'd',
			},
			now: this.now,
			random: 0.5,
		});
	}

	grantClaim(call: string): readonly EntryEffect[] {
		return this.apply({
			kind: 'claim-answered',
			call,
			answer: {kind: 'granted', claim: 'c', dispatchWithinMs: 2000},
			now: this.now,
			random: 0.5,
		});
	}

	/** Applies an event to a dispatch of a call, the first by default. */
	applyCallEvent(
		kind: 'call-connected' | 'call-not-sent' | 'call-lost',
		call: string,
		dispatch = 1,
	): readonly EntryEffect[] {
		return this.apply({kind, call, dispatch, now: this.now, random: 0.5});
	}

	tick(): readonly EntryEffect[] {
		return this.apply({kind: 'ticked', now: this.now, random: 0.5});
	}
}

/** Creates an entry with a lease, two engines and two plain servers. */
export function createServingEntry(): EntryDriver {
	const entry = new EntryDriver();
	entry.renew();
	['e1', 'e2', 'p1', 'p2'].forEach((id) => {
		entry.announce(id);
	});
	return entry;
}

/** Returns the effects of one kind. */
export function filterEffects<K extends EntryEffect['kind']>(
	effects: readonly EntryEffect[],
	kind: K,
): ReadonlyArray<Extract<EntryEffect, {kind: K}>> {
	return effects.filter(
		(effect): effect is Extract<EntryEffect, {kind: K}> => effect.kind === kind,
	);
}

/** Lists the reasons of the refusals among the effects. */
export function listRefusals(effects: readonly EntryEffect[]): string[] {
	return effects.flatMap((effect) =>
		effect.kind === 'refuse-stream' || effect.kind === 'refuse-call'
			? [effect.refusal.reason]
			: [],
	);
}

/** Acknowledges the death of a backend server as the control group does. */
export function acknowledgeDeath(
	entry: EntryDriver,
	backend: string,
	held: readonly string[] = [],
	leading?: string,
): readonly EntryEffect[] {
	return entry.apply({
		kind: 'deaths-acknowledged',
		deaths: [{backend, incarnation: 1}],
		quarantine: {
			version: entry.state.quarantine.version + 1,
			suspects: ['label/x'],
			leading,
			held,
			convicted: [],
		},
		now: entry.now,
		random: 0.5,
	});
}

/** Returns the first started attempt among the effects. */
export function findStart(effects: readonly EntryEffect[]) {
	return filterEffects(effects, 'start-attempt')[0]!;
}

/** Fails the connection and both probes of a stream's backend server. */
export function failBackend(
	entry: EntryDriver,
	stream: string,
): readonly EntryEffect[] {
	const applyEvent = (event: GenerationEvent) =>
		entry.apply({kind: 'generation-event', stream, event, random: 0.5});
	const {now} = entry;
	const {connections, probes} =
		entry.state.streams.get(stream)!.generationState!;
	applyEvent({kind: 'connected', connection: connections, now});
	applyEvent({kind: 'connection-lost', connection: connections, now});
	applyEvent({kind: 'probe-failed', probe: probes + 1, now});
	return applyEvent({kind: 'probe-failed', probe: probes + 2, now});
}
