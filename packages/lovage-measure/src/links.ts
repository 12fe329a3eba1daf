import type {GenerationEffect, GenerationEvent} from '@lovagevalve/generation';
import type {BackendView} from './backend-view.js';
import type {Clock} from './clock.js';
import type {Connection, Engine} from './engine.js';
import type {Platform} from './platform.js';
import type {Live} from './request.js';
import type {RunResult} from './account.js';

const LATENCY_MS = 1;
const CANCEL_RETRY_MS = 1000;

type LinkEffect = Extract<
	GenerationEffect,
	{
		kind: 'start' | 'resume' | 'close' | 'probe' | 'cancel' | 'report-death';
	}
>;
type Update = (id: string, event: GenerationEvent) => void;

/** Connects the generations of one entry with the engines. */
export function createLinks(
	parts: Readonly<{clock: Clock; platform: Platform; result: RunResult}>,
	view: BackendView,
	live: ReadonlyMap<string, Live>,
	update: Update,
) {
	const {clock, platform} = parts;

	const createConnection = (
		one: Live,
		connection: number,
		attempt: number,
	): Connection => {
		const {id} = one.request;
		const common = {connection, generation: id, attempt};
		const link: Connection = {
			isOpen: true,
			isSilent: false,
			onChunk(offset, count) {
				const now = clock.now() + LATENCY_MS;
				update(id, {kind: 'chunk-received', ...common, offset, count, now});
			},
			onEnd(total) {
				const now = clock.now() + LATENCY_MS;
				update(id, {kind: 'end-received', ...common, total, now});
			},
			onLost() {
				update(id, {kind: 'connection-lost', connection, now: clock.now()});
			},
		};
		one.connections.set(connection, link);
		return link;
	};

	/** Runs `open` at the engine, or answers as a dead engine's address does. */
	const dial = (engine: Engine, link: Connection, open: () => void) => {
		clock.schedule(LATENCY_MS, () => {
			if (engine.getStatus() === 'up') {
				open();
			} else if (engine.getStatus() === 'dead' && engine.isResetting()) {
				clock.schedule(LATENCY_MS, link.onLost);
			}
		});
	};

	const start = (one: Live, effect: Extract<LinkEffect, {kind: 'start'}>) => {
		const {request} = one;
		const {backend, attempt, connection, prefixLength} = effect;
		const engine = platform.byId.get(backend)!;
		const account = {decoded: 0, prefilled: 0};
		one.attempts.push({account, isFalse: one.leftAlive});
		one.leftAlive = false;
		one.isSpliced ||= prefixLength < one.delivered;
		view.release(one);
		view.hold(one, backend);
		one.incarnation = platform.getReport(backend).incarnation;
		const link = createConnection(one, connection, attempt);
		dial(engine, link, () => {
			update(request.id, {kind: 'connected', connection, now: clock.now()});
			engine.start(
				{
					generation: request.id,
					attempt,
					promptTokens: request.promptTokens,
					family: request.family,
					prefixLength,
					total: request.total,
					isKiller: request.isKiller,
					account,
				},
				link,
			);
		});
	};

	const resume = (one: Live, effect: Extract<LinkEffect, {kind: 'resume'}>) => {
		const {id} = one.request;
		const {backend, attempt, connection, offset} = effect;
		const engine = platform.byId.get(backend)!;
		const link = createConnection(one, connection, attempt);
		dial(engine, link, () => {
			if (!engine.resume(id, attempt, offset, link)) {
				const now = clock.now();
				update(id, {kind: 'backend-refused', connection, transient: true, now});
			}
		});
	};

	const probe = (one: Live, effect: Extract<LinkEffect, {kind: 'probe'}>) => {
		const {id} = one.request;
		const {backend, attempt, probe: number} = effect;
		const engine = platform.byId.get(backend)!;
		clock.schedule(2 * LATENCY_MS, () => {
			const now = clock.now();
			if (engine.getStatus() === 'up') {
				update(id, {
					kind: 'probe-answered',
					probe: number,
					held: engine.isHolding(id, attempt),
					length: engine.getLength(id, attempt),
					now,
				});
			} else if (engine.getStatus() === 'dead' && engine.isResetting()) {
				update(id, {kind: 'probe-failed', probe: number, now});
			}
		});
	};

	const cancel = (id: string, backend: string, attempt: number) => {
		const engine = platform.byId.get(backend)!;
		clock.schedule(LATENCY_MS, () => {
			if (engine.getStatus() === 'up') {
				engine.cancel(id, attempt);
			} else if (engine.getStatus() === 'paused') {
				clock.schedule(CANCEL_RETRY_MS, () => {
					cancel(id, backend, attempt);
				});
			}
		});
	};

	const reportDeath = (
		one: Live,
		effect: Extract<LinkEffect, {kind: 'report-death'}>,
	) => {
		const {backend, attempt, ran, cause} = effect;
		const engine = platform.byId.get(backend)!;
		const isAlive =
			engine.getStatus() !== 'dead' &&
			engine.isHolding(one.request.id, attempt);
		one.leftAlive = isAlive;
		parts.result.neededExtra += isAlive ? 0 : 1;
		view.avoid(backend);
		if (!ran || cause === 'stalled') {
			return;
		}

		const {dataCentre, rack} = engine;
		const {incarnation} = one;
		const digests = [...live.values()]
			.filter(
				(other) =>
					other.backend === backend &&
					other.incarnation === incarnation &&
					other.state.accepted,
			)
			.map(({request}) => request.digest);
		platform.applyQuarantine({
			kind: 'deaths-reported',
			deaths: [
				{
					backend,
					incarnation,
					dataCentre,
					rack,
					digests: [...digests, one.request.digest],
				},
			],
			completed: [],
			now: clock.now(),
		});
	};

	return {
		/** Runs one effect towards the engines. */
		run(one: Live, effect: LinkEffect) {
			switch (effect.kind) {
				case 'start': {
					start(one, effect);
					return;
				}

				case 'resume': {
					resume(one, effect);
					return;
				}

				case 'close': {
					const link = one.connections.get(effect.connection);
					one.connections.delete(effect.connection);
					if (link !== undefined) {
						link.isOpen = false;
					}

					return;
				}

				case 'probe': {
					probe(one, effect);
					return;
				}

				case 'cancel': {
					cancel(one.request.id, effect.backend, effect.attempt);
					return;
				}

				case 'report-death': {
					reportDeath(one, effect);
				}
			}
		},
	};
}
