import type {Agent} from 'undici';
import {readProgress} from './command-follow.js';
import type {Credentials} from './connection.js';
import type {ControlSession} from './control-session.js';
import {callEntry} from './entry-client.js';
import type {Host} from './host.js';
import type {Progress} from './judge-progress.js';
import {createOutput, fail, type CommandResult} from './outcome.js';

const POLL_INTERVAL_MS = 500;
const QUERY_TIMEOUT_MS = 2000;

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
	return progress.entries.find(({entry}) => entry.id === id);
}

function isGone(progress: Progress, {entry}: EntryProgress): boolean {
	const now = findEntry(progress, entry.id);
	return (
		now === undefined ||
		now.leaseRemainingMs <= 0 ||
		now.entry.incarnation !== entry.incarnation
	);
}

async function waitUntilGone(
	before: EntryProgress,
	options: DrainOptions,
	session: ControlSession,
	host: Host,
): Promise<CommandResult> {
	const start = host.now();
	const poll = async (): Promise<CommandResult> => {
		const elapsedMs = Math.round(host.now() - start);
		const progress = await readProgress(session, QUERY_TIMEOUT_MS);
		if (progress.isOk() && isGone(progress.value, before)) {
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
		const {isForbidden, message} = answer.error;
		return fail(isForbidden ? 'forbidden' : 'unavailable', message);
	}

	host.writeMessage(`entry ${options.entry} drains`);
	return waitUntilGone(entry, options, session, host);
}
