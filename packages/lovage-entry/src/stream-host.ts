import type {
	Cursor,
	EntryEffect,
	EntryEvent,
	EntryState,
} from '@lovagevalve/entry-role';
import type {Clock} from '@lovagevalve/runtime';
import type {GenerationRequest} from '@lovagevalve/wire';
import {createCallerStream, type CallerStream} from './caller-stream.js';
import {writeCursor} from './cursor.js';
import {appendTokens, createDeliveredTokens, readDigest} from './delivered.js';
import {createEngineHost} from './engine-host.js';
import type {EngineChunk} from './engine-stream.js';
import {createRefusalProblem} from './problems.js';

const STREAM_EFFECTS = [
	'start-attempt',
	'resume-attempt',
	'close-connection',
	'probe-attempt',
	'cancel-attempt',
	'deliver-tokens',
	'retain-tokens',
	'finish-stream',
	'refuse-stream',
] as const;

/** Effects that concern streams. */
export type StreamEffect = Extract<
	EntryEffect,
	{kind: (typeof STREAM_EFFECTS)[number]}
>;

/** Whether an effect concerns streams. */
export function isStreamEffect(effect: EntryEffect): effect is StreamEffect {
	const kinds: readonly string[] = STREAM_EFFECTS;
	return kinds.includes(effect.kind);
}

type StartEffect = Extract<StreamEffect, {kind: 'start-attempt'}>;
type GenerationEvent = Extract<EntryEvent, {kind: 'generation-event'}>['event'];

/** Dependencies of the stream host. */
export type StreamHostOptions = Readonly<{
	clock: Clock;
	cursorSecret: string;
	readState: () => EntryState;
	update: (event: EntryEvent) => void;
	random: () => number;
}>;

/**
 * Executes the effects that concern streams: engine connections, token buffers
 * and responses to callers.
 */
export type StreamHost = Readonly<{
	/**
	 * Registers a caller's stream; must precede its `generation-requested` event.
	 */
	add: (id: string, req: GenerationRequest) => CallerStream;
	run: (effect: StreamEffect) => void;
	heartbeat: () => void;
}>;

type HostedStream = {
	req: GenerationRequest;
	caller: CallerStream;
	delivered: ReturnType<typeof createDeliveredTokens>;
	/** Tokens of the chunk being processed; events carry only their number. */
	currentChunk: readonly string[];
};

/** Creates the stream host of one entry. */
export function createStreamHost(options: StreamHostOptions): StreamHost {
	const {clock, readState, update, random} = options;
	const hostedStreams = new Map<string, HostedStream>();

	const dispatchEvent = (stream: string, event: GenerationEvent): void => {
		update({kind: 'generation-event', stream, event, random: random()});
	};

	const remove = (id: string): void => {
		engines.closeAll(id);
		hostedStreams.delete(id);
	};

	const handleChunk = (id: string, connection: number, chunk: EngineChunk) => {
		const stream = hostedStreams.get(id);
		if (!stream) {
			return;
		}

		const {generation, attempt, offset, tokens} = chunk;
		stream.currentChunk = tokens;
		dispatchEvent(id, {
			kind: 'chunk-received',
			connection,
			generation,
			attempt,
			offset,
			count: tokens.length,
			now: clock.now(),
		});
		stream.currentChunk = [];
	};

	const engines = createEngineHost({
		clock,
		dispatchEvent,
		handleChunk,
	});

	const start = (effect: StartEffect): void => {
		const stream = hostedStreams.get(effect.stream);
		if (stream) {
			const {prompt, maxTokens} = stream.req;
			const prefix = stream.delivered.tokens.slice(0, effect.prefixLength);
			engines.start(effect, {prompt, prefix, maxTokens});
		}
	};

	const createCursor = (id: string, offset: number): Cursor | undefined => {
		const state = readState();
		const stream = state.streams.get(id);
		return stream?.generationState && stream.backend
			? {
					customer: stream.customer,
					requestId: stream.input.requestId,
					generation: stream.generation,
					backend: stream.backend.id,
					attempt: stream.generationState.attempt,
					entry: state.options.id,
					offset,
				}
			: undefined;
	};

	const deliver = (
		effect: Extract<StreamEffect, {kind: 'deliver-tokens'}>,
	): void => {
		const {stream: id, offset, count} = effect;
		const stream = hostedStreams.get(id);
		const cursor = createCursor(id, offset + count);
		if (!stream || !cursor) {
			return;
		}

		const tokens = stream.currentChunk.slice(-count);
		appendTokens(stream.delivered, tokens);
		const deliveredDigest = readDigest(stream.delivered);
		stream.caller.sendTokens(
			writeCursor({cursor, deliveredDigest}, options.cursorSecret),
			{offset, tokens},
		);
	};

	const retain = (
		effect: Extract<StreamEffect, {kind: 'retain-tokens'}>,
	): void => {
		const stream = hostedStreams.get(effect.stream);
		const state = readState().streams.get(effect.stream);
		if (!stream || !state?.generationState) {
			return;
		}

		const from =
			stream.currentChunk.length - (state.generationState.held - effect.offset);
		const tokens = stream.currentChunk.slice(from, from + effect.count);
		appendTokens(stream.delivered, tokens);
	};

	return {
		add(id, req) {
			const caller = createCallerStream(() => {
				remove(id);
				const now = clock.now();
				update({kind: 'caller-left', stream: id, now, random: random()});
			});
			const delivered = createDeliveredTokens();
			appendTokens(delivered, req.delivered ?? []);
			hostedStreams.set(id, {
				req,
				caller,
				delivered,
				currentChunk: [],
			});
			return caller;
		},
		run(effect) {
			switch (effect.kind) {
				case 'start-attempt': {
					start(effect);
					return;
				}

				case 'resume-attempt': {
					const stream = hostedStreams.get(effect.stream);
					if (stream) {
						engines.resume(effect, stream.req.maxTokens);
					}

					return;
				}

				case 'close-connection': {
					engines.close(effect.stream, effect.connection);
					return;
				}

				case 'probe-attempt': {
					engines.probe(effect);
					return;
				}

				case 'cancel-attempt': {
					engines.cancel(effect);
					return;
				}

				case 'deliver-tokens': {
					deliver(effect);
					return;
				}

				case 'retain-tokens': {
					retain(effect);
					return;
				}

				case 'finish-stream': {
					hostedStreams.get(effect.stream)?.caller.finish(effect.total);
					remove(effect.stream);
					return;
				}

				case 'refuse-stream': {
					const problem = createRefusalProblem(effect.refusal);
					hostedStreams.get(effect.stream)?.caller.refuse(problem);
					remove(effect.stream);
				}
			}
		},
		heartbeat() {
			hostedStreams.forEach(({caller}) => {
				caller.heartbeat();
			});
		},
	};
}
