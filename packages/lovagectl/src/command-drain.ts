import type {Agent} from 'undici';
import {readProgress} from './command-follow.js';
import type {Credentials} from './connection.js';
import type {ControlSession} from './control-session.js';
import {
	callEntry,
	isKeyRefused,
	type EntryClientOptions,
} from './entry-client.js';
import type {Host} from './host.js';
import type {Progress} from './version-progress.js';
import {createOutput, fail, type CommandResult} from './outcome.js';

const POLL_INTERVAL_MS = 500;
const QUERY_TIMEOUT_MS = 2000;

const HEALTH_PATH = '/health';

/** HTTP path at an entry that starts its graceful shutdown. */
export const DRAIN_PATH = '/v1/operator/drain';

/** Options of the drain command. */
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

function findNewerIncarnation(
	progress: Progress,
	{entry}: EntryProgress,
): EntryProgress | undefined {
	const newest = findEntry(progress, entry.id);
	return newest?.entry.incarnation === entry.incarnation ? undefined : newest;
}

function holdsLease(progress: Progress, {entry}: EntryProgress): boolean {
	return progress.entries.some(
		(current) =>
			current.entry.id === entry.id &&
			current.entry.incarnation === entry.incarnation &&
			current.leaseRemainingMs > 0,
	);
}

async function isReachable(
	{entry}: EntryProgress,
	clientOptions: EntryClientOptions,
): Promise<boolean> {
	const answer = await callEntry(entry, HEALTH_PATH, 'GET', clientOptions);
	return answer.isOk() || answer.error.status !== undefined;
}

/** State shared by the steps of one drain. */
type DrainContext = Readonly<{
	target: EntryProgress;
	options: DrainOptions;
	session: ControlSession;
	clientOptions: EntryClientOptions;
	host: Host;
}>;

/**
 * Tells whether the drained process has stopped. A newly elected leader does
 * not know every lease yet, so a missing lease counts only if a newer process
 * of the entry has registered or the entry is unreachable.
 */
async function hasStopped({
	target,
	session,
	clientOptions,
}: DrainContext): Promise<boolean> {
	const progress = await readProgress(session, QUERY_TIMEOUT_MS);
	if (progress.isErr() || holdsLease(progress.value, target)) {
		return false;
	}

	const hasRestarted =
		findNewerIncarnation(progress.value, target) !== undefined;
	return hasRestarted || !(await isReachable(target, clientOptions));
}

async function waitUntilStopped(context: DrainContext): Promise<CommandResult> {
	const {options, host} = context;
	const start = host.now();
	const poll = async (): Promise<CommandResult> => {
		const elapsedMs = Math.round(host.now() - start);
		if (await hasStopped(context)) {
			return createOutput(
				[`entry ${options.entry} stopped after ${elapsedMs} ms`],
				{entry: options.entry, stopped: true, elapsedMs},
			);
		}

		if (elapsedMs >= options.timeoutMs) {
			return fail(
				'timed-out',
				`entry ${options.entry} has not stopped after ${elapsedMs} ms; draining continues`,
				{entry: options.entry, stopped: false},
			);
		}

		await host.sleep(POLL_INTERVAL_MS);
		return poll();
	};

	return poll();
}

/** Starts the graceful shutdown of an entry and waits until it has stopped. */
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
		return fail('failed', `unknown entry "${options.entry}"`);
	}

	const clientOptions = {credentials: options.credentials, agent};
	const answer = await callEntry(
		entry.entry,
		DRAIN_PATH,
		'POST',
		clientOptions,
	);
	if (answer.isErr()) {
		const kind = isKeyRefused(answer.error) ? 'forbidden' : 'unavailable';
		return fail(kind, answer.error.message);
	}

	host.writeMessage(`entry ${options.entry} is draining`);
	return waitUntilStopped({
		target: entry,
		options,
		session,
		clientOptions,
		host,
	});
}
