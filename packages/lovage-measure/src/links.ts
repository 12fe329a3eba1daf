import type {GenerationEffect, GenerationEvent} from '@lovagevalve/generation';
import type {BackendView} from './backend-view.js';
import type {Clock} from './clock.js';
import type {Connection, Engine} from './engine.js';
import type {Platform} from './platform.js';
import type {LiveRequest} from './request.js';
import type {RunResult} from './account.js';

const LATENCY_MS = 1;
/** Delay before a cancellation is sent again to a paused engine. */
const CANCEL_RETRY_DELAY_MS = 1000;

type LinkEffect = Extract<
	GenerationEffect,
	{
		kind: 'start' | 'resume' | 'close' | 'probe' | 'cancel' | 'report-death';
	}
>;
type Update = (id: string, event: GenerationEvent) => void;

/** Connects the generations of one entry to the engines. */
export function createEngineLinks(
	options: Readonly<{clock: Clock; platform: Platform; result: RunResult}>,
	view: BackendView,
	liveRequests: ReadonlyMap<string, LiveRequest>,
	update: Update,
) {
	const {clock, platform} = options;

	const createConnection = (
		liveRequest: LiveRequest,
		connection: number,
		attempt: number,
	): Connection => {
		const {id} = liveRequest.request;
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
		liveRequest.connections.set(connection, link);
		return link;
	};

	/**
	 * Runs `open` if the engine is up. A dead engine resets the connection or
	 * stays silent.
	 */
	const connect = (engine: Engine, link: Connection, open: () => void) => {
		clock.schedule(LATENCY_MS, () => {
			if (engine.getStatus() === 'up') {
				open();
			} else if (engine.getStatus() === 'dead' && engine.isResetting()) {
				clock.schedule(LATENCY_MS, link.onLost);
			}
		});
	};

	const start = (
		liveRequest: LiveRequest,
		effect: Extract<LinkEffect, {kind: 'start'}>,
	) => {
		const {request} = liveRequest;
		const {backend, attempt, connection, prefixLength} = effect;
		const engine = platform.byId.get(backend)!;
		const work = {decoded: 0, prefilled: 0};
		liveRequest.attempts.push({
			work,
			followsFalseDetection: liveRequest.wasLeftAlive,
		});
		liveRequest.wasLeftAlive = false;
		liveRequest.hasOffsetMismatch ||= prefixLength < liveRequest.delivered;
		view.release(liveRequest);
		view.hold(liveRequest, backend);
		liveRequest.incarnation = platform.getReport(backend).incarnation;
		const link = createConnection(liveRequest, connection, attempt);
		connect(engine, link, () => {
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
					work,
				},
				link,
			);
		});
	};

	const resume = (
		liveRequest: LiveRequest,
		effect: Extract<LinkEffect, {kind: 'resume'}>,
	) => {
		const {id} = liveRequest.request;
		const {backend, attempt, connection, offset} = effect;
		const engine = platform.byId.get(backend)!;
		const link = createConnection(liveRequest, connection, attempt);
		connect(engine, link, () => {
			if (!engine.resume(id, attempt, offset, link)) {
				const now = clock.now();
				update(id, {kind: 'backend-refused', connection, transient: true, now});
			}
		});
	};

	const probe = (
		liveRequest: LiveRequest,
		effect: Extract<LinkEffect, {kind: 'probe'}>,
	) => {
		const {id} = liveRequest.request;
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
				clock.schedule(CANCEL_RETRY_DELAY_MS, () => {
					cancel(id, backend, attempt);
				});
			}
		});
	};

	const reportDeath = (
		liveRequest: LiveRequest,
		effect: Extract<LinkEffect, {kind: 'report-death'}>,
	) => {
		const {backend, attempt, ran, cause} = effect;
		const engine = platform.byId.get(backend)!;
		const isAlive =
			engine.getStatus() !== 'dead' &&
			engine.isHolding(liveRequest.request.id, attempt);
		liveRequest.wasLeftAlive = isAlive;
		options.result.neededExtraAttempts += isAlive ? 0 : 1;
		view.avoid(backend);
		if (!ran || cause === 'stalled') {
			return;
		}

		const {dataCentre, rack} = engine;
		const {incarnation} = liveRequest;
		const digests = [...liveRequests.values()]
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
					digests: [...digests, liveRequest.request.digest],
				},
			],
			completed: [],
			now: clock.now(),
		});
	};

	return {
		/** Runs one effect on the engines. */
		run(liveRequest: LiveRequest, effect: LinkEffect) {
			switch (effect.kind) {
				case 'start': {
					start(liveRequest, effect);
					return;
				}

				case 'resume': {
					resume(liveRequest, effect);
					return;
				}

				case 'close': {
					const link = liveRequest.connections.get(effect.connection);
					liveRequest.connections.delete(effect.connection);
					if (link !== undefined) {
						link.isOpen = false;
					}

					return;
				}

				case 'probe': {
					probe(liveRequest, effect);
					return;
				}

				case 'cancel': {
					cancel(liveRequest.request.id, effect.backend, effect.attempt);
					return;
				}

				case 'report-death': {
					reportDeath(liveRequest, effect);
				}
			}
		},
	};
}
