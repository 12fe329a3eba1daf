import {defaultSettings, type RaftMessage} from '@lovagevalve/consensus';
import {configurationSchema} from '@lovagevalve/inventory';
import {
	type ControlAnswer,
	type ControlEffect,
	type ControlEvent,
	type ControlInput,
	type ControlSettings,
	type ControlState,
	createControl,
	stepControl,
} from '../../index.js';

export const KEY_HASH = `sha256:${'a'.repeat(64)}`;
const TICK_MS = 50;
const MAX_TICKS = 2000;

export const settings: ControlSettings = {
	lease: {leaseMs: 3000, driftShare: 0.01},
	orders: {
		holderLeaseMs: 2000,
		deliveryTimeoutMs: 1000,
		loadTimeoutMs: 60_000,
		retryAfterMs: 5000,
		driftShare: 0.01,
	},
	claimHoldMs: 10_000,
	snapshotEveryEntries: 20,
	maxPendingRequests: 100,
	bootstrapKeyHash: KEY_HASH,
};

export function createConfiguration(name: string, workers = 2) {
	return configurationSchema.parse({
		inventory: {
			name,
			dataCentres: [{id: 'dc-1', region: 'r-1'}],
			services: [
				{
					id: 'lyrics',
					kind: 'engine',
					models: [{id: 'lyric', version: '2', adapters: ['label']}],
					workers: Array.from({length: workers}, (_, i) => ({
						id: `engine-${i}`,
						dataCentre: 'dc-1',
						checksFencing: i % 2 === 0,
					})),
				},
			],
			customers: [{id: 'label', keyHash: KEY_HASH}],
			operators: [{id: 'ops', keyHash: KEY_HASH}],
			weightStore: {url: 'http://127.0.0.1:9', parallelLoads: 2},
		},
		rules: {},
	});
}

export const createApply = (
	operationId: string,
	baseVersion: number,
	configuration = createConfiguration(operationId),
	keyHash = KEY_HASH,
): ControlInput => ({
	kind: 'apply',
	baseVersion,
	operationId,
	operator: 'ops',
	keyHash,
	configuration,
});

export const createRenew = (
	id: string,
	appliedVersion: number,
	models: Array<{id: string; version: string; adapters: string[]}> = [],
	engines = 0,
): ControlInput => ({
	kind: 'renew',
	entry: {
		id,
		address: `http://${id}`,
		dataCentre: 'dc-1',
		state: 'serving',
		incarnation: 'a',
	},
	appliedVersion,
	quarantineVersion: 0,
	backends: Array.from({length: engines}, (_, i) => ({
		id: `engine-${i}`,
		service: 'lyrics',
		address: `http://engine-${i}`,
		incarnation: 1,
		state: 'serving' as const,
		models,
	})),
});

/** Control instances on a shared virtual clock; each can be isolated from the others. */
export class Group {
	now = 0;
	readonly states: ControlState[];
	readonly answers = new Map<string, ControlAnswer['answer']>();
	readonly orders: Array<Extract<ControlEffect, {kind: 'send-order'}>> = [];
	readonly isolated = new Set<number>();
	private readonly messages: Array<{from: number; message: RaftMessage}> = [];
	private nextRequest = 1;

	constructor(size: number) {
		this.states = Array.from({length: size}, (_, i) =>
			createControl({
				recovered: {
					replica: `replica-${i}`,
					hardState: {term: 0},
					entries: [],
				},
				raft: defaultSettings,
				settings,
				seed: i + 1,
				now: 0,
			}),
		);
		const members = this.states.map(({raft}, i) => ({
			replica: raft.replica,
			name: `control-${i}`,
			address: `http://127.0.0.1:${i + 1}`,
		}));
		this.states.forEach((_, i) => {
			this.sendRequest(i, {kind: 'initialise', group: 'test', members});
		});
		this.runUntil(() => this.leader !== undefined);
	}

	get leader(): number | undefined {
		const i = this.states.findIndex(
			({raft}, index) =>
				raft.role.kind === 'leader' && !this.isolated.has(index),
		);
		return i === -1 ? undefined : i;
	}

	/** Sends a request and returns its id. */
	sendRequest(i: number, input: ControlInput): string {
		const request = `${this.nextRequest++}`;
		this.dispatch(i, {kind: 'requested', request, input});
		return request;
	}

	/** Sends a request to the leader and waits for the answer. */
	call(input: ControlInput): ControlAnswer['answer'] {
		this.runUntil(() => this.leader !== undefined);
		return this.waitForAnswer(this.sendRequest(this.leader!, input));
	}

	waitForAnswer(request: string): ControlAnswer['answer'] {
		this.runUntil(() => this.answers.has(request));
		return this.answers.get(request)!;
	}

	runUntil(isDone: () => boolean): void {
		this.deliver();
		for (let tick = 0; !isDone(); tick++) {
			if (tick > MAX_TICKS) {
				throw new Error('The condition was not met in time.');
			}

			this.advanceTime(TICK_MS);
		}
	}

	/** Advances the clock in ticks and delivers messages after each. */
	advanceTime(ms: number): void {
		const end = this.now + ms;
		while (this.now < end) {
			this.now += TICK_MS;
			this.states.forEach((_, i) => {
				this.dispatch(i, {kind: 'ticked'});
			});
			this.deliver();
		}
	}

	dispatch(
		i: number,
		input: ControlEvent extends infer Event
			? Event extends ControlEvent
				? Omit<Event, 'now' | 'wall'>
				: never
			: never,
	): void {
		const {state, effects} = stepControl(this.states[i]!, {
			...input,
			now: this.now,
			wall: this.now,
		});
		this.states[i] = state;
		effects.forEach((effect) => {
			this.run(i, effect);
		});
	}

	private run(i: number, effect: ControlEffect): void {
		switch (effect.kind) {
			case 'send': {
				this.messages.push({from: i, message: effect.message});
				break;
			}

			case 'persist':
			case 'persist-snapshot': {
				this.dispatch(i, {kind: 'synced', sequence: effect.sequence});
				break;
			}

			case 'respond': {
				this.answers.set(effect.request, effect.response.answer);
				break;
			}

			case 'send-order': {
				this.orders.push(effect);
				break;
			}

			case 'became-leader':
			case 'stepped-down': {
				break;
			}
		}
	}

	private deliver(): void {
		while (this.messages.length > 0) {
			const {from, message} = this.messages.shift()!;
			const to = this.states.findIndex(({raft}) => raft.replica === message.to);
			if (!this.isolated.has(from) && !this.isolated.has(to)) {
				this.dispatch(to, {kind: 'received', message});
			}
		}
	}
}
