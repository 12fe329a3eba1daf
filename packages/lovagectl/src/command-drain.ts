import type {Agent} from 'undici';
import {readProgress} from './command-follow.js';
import type {Credentials} from './connection.js';
import type {ControlSession} from './control-session.js';
import {callEntry, isKeyRefused, type EntryCaller} from './entry-client.js';
import type {Host} from './host.js';
import type {Progress} from './judge-progress.js';
import {createOutput, fail, type CommandResult} from './outcome.js';

const POLL_INTERVAL_MS = 500;
const QUERY_TIMEOUT_MS = 2000;

const HEALTH_PATH = '/health';

/** Address at an entry that starts its graceful shutdown. */
export const DRAIN_PATH = '/v1/operator/drain';

/** The entry to drain and how long to wait for its end. */
export type DrainOptions = Readonly<{
	entry: string;
	credentials: Credentials;
	timeoutMs: number;
}>;

type EntryProgress = Progress['entries'][number];

function findEntry(progress: Progress, id: string): EntryProgress | undefined {
	return progress.entries
		.filter(({entry}) => entry.id === id)
		.toSorted((a, b) => b.leaseRemainingMs - a.leaseRemainingMs)[0];
}

function findSuccessor(
	progress: Progress,
	{entry}: EntryProgress,
): EntryProgress | undefined {
	const newest = findEntry(progress, entry.id);
	return newest?.entry.incarnation === entry.incarnation ? undefined : newest;
}

function holdsLease(progress: Progress, {entry}: EntryProgress): boolean {
	return progress.entries.some(
		(now) =>
			now.entry.id === entry.id &&
			now.entry.incarnation === entry.incarnation &&
			now.leaseRemainingMs > 0,
	);
}

async function isAnswering(
	{entry}: EntryProgress,
	caller: EntryCaller,
): Promise<boolean> {
	const answer = await callEntry(entry, HEALTH_PATH, 'GET', caller);
	return answer.isOk() || answer.error.status !== undefined;
}

/** One entry on its way to its end. */
type Drain = Readonly<{
	before: EntryProgress;
	options: DrainOptions;
	session: ControlSession;
	caller: EntryCaller;
	host: Host;
}>;

/** A new leader does not know every lease, so the entry is asked, too. */
async function isGone({before, session, caller}: Drain): Promise<boolean> {
	const progress = await readProgress(session, QUERY_TIMEOUT_MS);
	if (progress.isErr() || holdsLease(progress.value, before)) {
		return false;
	}

	const hasSuccessor = findSuccessor(progress.value, before) !== undefined;
	return hasSuccessor || !(await isAnswering(before, caller));
}

async function waitUntilGone(drain: Drain): Promise<CommandResult> {
	const {options, host} = drain;
	const start = host.now();
	const poll = async (): Promise<CommandResult> => {
		const elapsedMs = Math.round(host.now() - start);
		if (await isGone(drain)) {
			return createOutput(
				[`entry ${options.entry} has stopped after ${elapsedMs} ms`],
				{entry: options.entry, stopped: true, elapsedMs},
			);
		}

		if (elapsedMs >= options.timeoutMs) {
			return fail(
				'timed-out',
				`entry ${options.entry} still finishes its work after ${elapsedMs} ms; it goes on draining`,
				{entry: options.entry, stopped: false},
			);
		}

		await host.sleep(POLL_INTERVAL_MS);
		return poll();
	};

	return poll();
}

/** Starts the graceful shutdown of an entry and waits for its end. */
export async function drain(
	options: DrainOptions,
	session: ControlSession,
	agent: Agent,
	host: Host,
): Promise<CommandResult> {
	const progress = await readProgress(session, options.timeoutMs);
	if (progress.isErr()) {
		return fail(progress.error.kind, progress.error.messages);
	}

	const entry = findEntry(progress.value, options.entry);
	if (entry === undefined) {
		return fail('failed', `entry "${options.entry}" is not known`);
	}

	const caller = {credentials: options.credentials, agent};
	const answer = await callEntry(entry.entry, DRAIN_PATH, 'POST', caller);
	if (answer.isErr()) {
		const kind = isKeyRefused(answer.error) ? 'forbidden' : 'unavailable';
		return fail(kind, answer.error.message);
	}

	host.writeMessage(`entry ${options.entry} drains`);
	return waitUntilGone({before: entry, options, session, caller, host});
}
