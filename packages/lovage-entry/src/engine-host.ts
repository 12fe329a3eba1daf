import type {EntryEffect, EntryEvent} from '@lovagevalve/entry-role';
import type {Clock} from '@lovagevalve/runtime';
import type {EngineStart} from '@lovagevalve/wire';
import {cancelAttempt, probeAttempt} from './engine-exchange.js';
import {
	openEngineStream,
	type EngineChunk,
	type EngineListener,
	type EngineRequest,
} from './engine-stream.js';

const PROBE_TIMEOUT_MS = 1000;

type GenerationEvent = Extract<EntryEvent, {kind: 'generation-event'}>['event'];
type StartEffect = Extract<EntryEffect, {kind: 'start-attempt'}>;
type ResumeEffect = Extract<EntryEffect, {kind: 'resume-attempt'}>;
type ProbeEffect = Extract<EntryEffect, {kind: 'probe-attempt'}>;
type CancelEffect = Extract<EntryEffect, {kind: 'cancel-attempt'}>;

/** Dependencies of the engine host. */
export type EngineHostOptions = Readonly<{
	clock: Clock;
	dispatchEvent: (stream: string, event: GenerationEvent) => void;
	/** Called for chunks instead of `dispatchEvent`, which carries no tokens. */
	handleChunk: (stream: string, connection: number, chunk: EngineChunk) => void;
}>;

/** Fields of a start request that its effect does not carry. */
export type AttemptBody = Pick<EngineStart, 'prompt' | 'prefix' | 'maxTokens'>;

/** Manages the connections to engines, probes and cancellations. */
export type EngineHost = Readonly<{
	start: (effect: StartEffect, body: AttemptBody) => void;
	resume: (effect: ResumeEffect, maxTokens: number) => void;
	close: (stream: string, connection: number) => void;
	closeAll: (stream: string) => void;
	probe: (effect: ProbeEffect) => void;
	cancel: (effect: CancelEffect) => void;
}>;

/** Creates the engine host of one entry. */
export function createEngineHost({
	clock,
	dispatchEvent,
	handleChunk,
}: EngineHostOptions): EngineHost {
	const connections = new Map<string, Map<number, () => void>>();

	const createListener = (id: string, connection: number): EngineListener => ({
		onOpen() {
			dispatchEvent(id, {kind: 'connected', connection, now: clock.now()});
		},
		onChunk(chunk) {
			handleChunk(id, connection, chunk);
		},
		onEnd(end) {
			dispatchEvent(id, {
				kind: 'end-received',
				connection,
				...end,
				now: clock.now(),
			});
		},
		onLost(isUnreached) {
			const now = clock.now();
			dispatchEvent(id, {
				kind: 'connection-lost',
				connection,
				isUnreached,
				now,
			});
		},
		onRefused(transient) {
			const now = clock.now();
			dispatchEvent(id, {kind: 'backend-refused', connection, transient, now});
		},
	});

	const connect = (
		id: string,
		connection: number,
		req: EngineRequest,
	): void => {
		const listener = createListener(id, connection);
		if (req.address === '') {
			setImmediate(listener.onLost, true);
			return;
		}

		const close = openEngineStream(req, listener);
		const open = connections.get(id) ?? new Map<number, () => void>();
		connections.set(id, open.set(connection, close));
	};

	return {
		start(effect, body) {
			const {generation, attempt, priority, address, model} = effect;
			connect(effect.stream, effect.connection, {
				kind: 'start',
				address,
				body: {generation, attempt, model, priority, ...body},
			});
		},
		resume(effect, maxTokens) {
			const {stream, connection, address, generation, attempt, offset} = effect;
			connect(stream, connection, {
				kind: 'resume',
				address,
				generation,
				attempt,
				offset,
				maxTokens,
			});
		},
		close(stream, connection) {
			const open = connections.get(stream);
			open?.get(connection)?.();
			open?.delete(connection);
		},
		closeAll(stream) {
			connections.get(stream)?.forEach((close) => {
				close();
			});
			connections.delete(stream);
		},
		probe(effect) {
			const {stream, probe, address} = effect;
			if (address === '') {
				setImmediate(() => {
					dispatchEvent(stream, {
						kind: 'probe-failed',
						probe,
						now: clock.now(),
					});
				});
				return;
			}

			void probeAttempt(effect, PROBE_TIMEOUT_MS).match(
				({held, length}) => {
					const now = clock.now();
					dispatchEvent(stream, {
						kind: 'probe-answered',
						probe,
						held,
						length,
						now,
					});
				},
				() => {
					dispatchEvent(stream, {
						kind: 'probe-failed',
						probe,
						now: clock.now(),
					});
				},
			);
		},
		cancel(effect) {
			if (effect.address !== '') {
				const retryUntil = clock.now() + effect.giveUpAfterMs;
				void cancelAttempt(effect, retryUntil);
			}
		},
	};
}
