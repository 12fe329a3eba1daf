import {setTimeout as sleep} from 'node:timers/promises';
import {
	type BackendRecord,
	createIncarnationKey,
	type IncarnationProof,
	type IncarnationWord,
	proveIncarnation,
} from '@lovagevalve/dispatch';
import {askBackend} from './backend-command.js';
import type {GatewayContext, IncarnationQuestions} from './context.js';

/** Parts of the context that questions need. */
export type QuestionsContext = Pick<
	GatewayContext,
	'buffers' | 'clock' | 'codec' | 'view' | 'log' | 'resolveAddress'
>;

type Question = {
	readonly askedAt: number;
	readonly proof: Promise<IncarnationProof>;
	/** The question that follows it, for those who need a later one. */
	next?: Promise<IncarnationProof>;
};

/** Longer than a request waits, so that one that comes back may find the answer. */
const QUESTION_TIMEOUT_MS = 2500;
/** Word later than this is too late for most requests. */
const SLOW_MS = 600;
/** A question whose connection has fallen silent doesn't hold the next one up for longer. */
const MAX_TURN_MS = 250;
/** Time for which a silent backend server is chosen last. */
const SILENT_MEMORY_MS = 2000;

/** Creates the questions of an entry that has asked none. */
export function createIncarnationQuestions(
	ctx: QuestionsContext,
): IncarnationQuestions {
	const {clock, codec, view} = ctx;
	/** The newest question that is open, by incarnation. */
	const open = new Map<string, Question>();
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
		askedAt: number,
	): Promise<IncarnationProof> => {
		const slowTimer = setTimeout(() => {
			silentAt.set(key, clock.now());
		}, SLOW_MS);
		const word = await readWord(backend);
		clearTimeout(slowTimer);
		if (open.get(key)?.askedAt === askedAt) {
			open.delete(key);
		}

		removeOld();
		const proof = proveIncarnation({
			registeredBornAt: backend.bornAt,
			isNamingUsual: listServing(backend.service).some(
				({bornAt}) => bornAt > 0,
			),
			word,
		});
		if (proof.kind === 'unproved') {
			silentAt.set(key, clock.now());
		}

		return proof;
	};

	const start = async (
		key: string,
		backend: BackendRecord,
	): Promise<IncarnationProof> => {
		const askedAt = clock.now();
		const proof = runQuestion(key, backend, askedAt);
		open.set(key, {askedAt, proof});
		return proof;
	};

	const startAfter = async (
		{proof}: Question,
		key: string,
		backend: BackendRecord,
	): Promise<IncarnationProof> => {
		await Promise.race([proof, sleep(MAX_TURN_MS)]);
		return start(key, backend);
	};

	return {
		async ask(backend, since = Number.NEGATIVE_INFINITY) {
			const key = createIncarnationKey(backend);
			const known = open.get(key);
			if (known === undefined) {
				return start(key, backend);
			}

			if (known.askedAt >= since) {
				return known.proof;
			}

			// A server that answers slowly is asked once for all who wait.
			known.next ??= startAfter(known, key, backend);
			return known.next;
		},
		wasSilent(backend) {
			const at = silentAt.get(createIncarnationKey(backend));
			return at !== undefined && clock.now() - at < SILENT_MEMORY_MS;
		},
	};
}
