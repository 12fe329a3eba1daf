import {
	type BackendRecord,
	createIncarnationKey,
	type IncarnationProof,
	type IncarnationWord,
	proveIncarnation,
	readSoftwareVersion,
} from '@lovagevalve/dispatch';
import {askBackend} from './backend-command.js';
import type {GatewayContext} from './context.js';

/** Questions to backend servers about which incarnation they are. */
export type IncarnationQuestions = Readonly<{
	/** Asks a backend server, or joins the question that is open. */
	ask: (backend: BackendRecord) => Promise<IncarnationProof>;
	/** Whether it left the last question without a word in time, a short while ago. */
	wasSilent: (backend: BackendRecord) => boolean;
	/** Usable backend servers of the same service and software version, in part. */
	chooseOthers: (backend: BackendRecord) => readonly BackendRecord[];
}>;

/** Parts of the context that questions need. */
export type QuestionsContext = Pick<
	GatewayContext,
	'clock' | 'codec' | 'view' | 'log' | 'resolveAddress' | 'random'
>;

/** Longer than a request waits, so that one that comes back may find the answer. */
const QUESTION_TIMEOUT_MS = 2500;
/** A gap between two ticks shows that the process stood still. */
const TICK_MS = 50;
/** Word later than this is too late for most requests. */
const SLOW_MS = 600;
/** Time for which a silent backend server is chosen last. */
const SILENT_MEMORY_MS = 2000;
const MAX_OTHERS = 3;

/** Measures the longest gap between ticks until it is stopped. */
function watchPauses(clock: GatewayContext['clock']): () => number {
	let tickedAt = clock.now();
	let pauseMs = 0;
	const tick = (): void => {
		const now = clock.now();
		pauseMs = Math.max(pauseMs, now - tickedAt);
		tickedAt = now;
	};

	const timer = setInterval(tick, TICK_MS);
	return () => {
		clearInterval(timer);
		tick();
		return pauseMs;
	};
}

/** Creates the questions of an entry that has asked none. */
export function createIncarnationQuestions(
	ctx: QuestionsContext,
): IncarnationQuestions {
	const {clock, codec, view} = ctx;
	/** By incarnation. */
	const open = new Map<string, Promise<IncarnationProof>>();
	const silentAt = new Map<string, number>();

	const listServing = (service: string): readonly BackendRecord[] =>
		view.listInService().get(service) ?? [];

	const readWord = async (backend: BackendRecord): Promise<IncarnationWord> => {
		const answer = await askBackend(
			ctx,
			{backend, requestId: ''},
			codec.createStatusCommand(),
			QUESTION_TIMEOUT_MS,
		);
		return answer.match(
			(text): IncarnationWord => {
				const bornAt = codec.readBornAt(text);
				return bornAt === undefined
					? {kind: 'unnamed'}
					: {kind: 'named', bornAt};
			},
			(reason) => ({kind: 'silent', reason}),
		);
	};

	const removeOld = (): void => {
		const now = clock.now();
		silentAt.forEach((at, key) => {
			if (now - at >= SILENT_MEMORY_MS) {
				silentAt.delete(key);
			}
		});
	};

	const runQuestion = async (
		key: string,
		backend: BackendRecord,
	): Promise<IncarnationProof> => {
		const slowTimer = setTimeout(() => {
			silentAt.set(key, clock.now());
		}, SLOW_MS);
		const stopWatching = watchPauses(clock);
		const word = await readWord(backend);
		const pauseMs = stopWatching();
		clearTimeout(slowTimer);
		open.delete(key);
		removeOld();
		const proof = proveIncarnation({
			registeredBornAt: backend.bornAt,
			isNamingUsual: listServing(backend.service).some(
				({bornAt}) => bornAt > 0,
			),
			word,
			pauseMs,
		});
		if (proof.kind === 'unproved') {
			silentAt.set(key, clock.now());
		}

		return proof;
	};

	return {
		async ask(backend) {
			const key = createIncarnationKey(backend);
			const question = open.get(key) ?? runQuestion(key, backend);
			open.set(key, question);
			return question;
		},
		wasSilent(backend) {
			const at = silentAt.get(createIncarnationKey(backend));
			return at !== undefined && clock.now() - at < SILENT_MEMORY_MS;
		},
		chooseOthers(backend) {
			const others = listServing(backend.service).filter(
				(other) =>
					other.id !== backend.id &&
					readSoftwareVersion(other) === readSoftwareVersion(backend) &&
					view.readAvailability(other.id) === 'usable',
			);
			const start = Math.floor(ctx.random() * others.length);
			return [...others.slice(start), ...others.slice(0, start)].slice(
				0,
				MAX_OTHERS,
			);
		},
	};
}
