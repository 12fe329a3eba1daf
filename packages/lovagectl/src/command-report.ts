import {writeFile} from 'node:fs/promises';
import type {Configuration} from '@lovagevalve/inventory';
import {
	computeBurn,
	mergeSnapshots,
	renderHtml,
	renderText,
	snapshotSchema,
	type BurnReport,
	type ServiceLevelSnapshot,
} from '@lovagevalve/report';
import type {ConfigurationResponse} from '@lovagevalve/wire';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import type {Agent} from 'undici';
import VError from 'verror';
import {readProgress} from './command-follow.js';
import type {Credentials} from './connection.js';
import type {ControlSession} from './control-session.js';
import {callEntry, isKeyRefused, type EntryError} from './entry-client.js';
import type {Host} from './host.js';
import {
	createError,
	createOutput,
	fail,
	type CommandError,
	type CommandResult,
} from './outcome.js';

/** Address at an entry that answers what it counted. */
export const REPORT_PATH = '/v1/operator/report';

/** What to report and where to write it. */
export type ReportOptions = Readonly<{
	credentials: Credentials;
	/** File for the page; absent for none. */
	html: string | undefined;
	timeoutMs: number;
}>;

type Collected = Readonly<{
	snapshots: readonly ServiceLevelSnapshot[];
	missing: readonly EntryError[];
}>;

async function collect(
	options: ReportOptions,
	session: ControlSession,
	agent: Agent,
): Promise<Result<Collected, CommandError>> {
	const progress = await readProgress(session, options.timeoutMs);
	if (progress.isErr()) {
		return err(progress.error);
	}

	const caller = {credentials: options.credentials, agent};
	const answers = await Promise.all(
		progress.value.entries.map(async ({entry}) => {
			const answer = await callEntry(entry, REPORT_PATH, 'GET', caller);
			return answer.andThen((body) => {
				const parsed = snapshotSchema.safeParse(body);
				return parsed.success
					? ok<ServiceLevelSnapshot>(parsed.data)
					: err({
							entry: entry.id,
							message: `${entry.address}: the answer is not a report`,
						});
			});
		}),
	);
	return ok({
		snapshots: answers.flatMap((answer) =>
			answer.isOk() ? [answer.value] : [],
		),
		missing: answers.flatMap((answer) =>
			answer.isErr() ? [answer.error] : [],
		),
	});
}

async function readConfiguration(
	session: ControlSession,
	timeoutMs: number,
): Promise<Result<Configuration, CommandError>> {
	const answer = await session.askLeader<ConfigurationResponse>(
		async (client, signal) =>
			client.readConfiguration.query(undefined, {signal}),
		timeoutMs,
	);
	return answer.andThen(({configuration}) =>
		configuration === undefined
			? err(createError('failed', 'no configuration is in force yet'))
			: ok(configuration),
	);
}

function writePage(
	file: string | undefined,
	report: BurnReport,
	title: string,
): ResultAsync<undefined, CommandError> {
	const written =
		file === undefined
			? Promise.resolve()
			: writeFile(file, renderHtml(report, title));
	return ResultAsync.fromPromise(written, (cause) => {
		const reason = cause instanceof Error ? cause : new Error(String(cause));
		return createError(
			'failed',
			new VError(reason, 'the page cannot be written').message,
		);
	}).map(() => undefined);
}

function explainMissing(missing: readonly EntryError[]): CommandResult {
	if (missing.length === 0) {
		return fail('unavailable', 'no entry is known to the control group');
	}

	const isForbidden = missing.every(isKeyRefused);
	return fail(
		isForbidden ? 'forbidden' : 'unavailable',
		missing.map(({message}) => message),
	);
}

/** Adds up what the entries counted and shows the burn. */
export async function report(
	options: ReportOptions,
	session: ControlSession,
	agent: Agent,
	host: Host,
): Promise<CommandResult> {
	const cfg = await readConfiguration(session, options.timeoutMs);
	if (cfg.isErr()) {
		return err(cfg.error);
	}

	const collected = await collect(options, session, agent);
	if (collected.isErr()) {
		return err(collected.error);
	}

	const {snapshots, missing} = collected.value;
	if (snapshots.length === 0) {
		return explainMissing(missing);
	}

	missing.forEach(({message}) => {
		host.writeMessage(`not in the report: ${message}`);
	});
	const {inventory, rules} = cfg.value;
	const burn = computeBurn(mergeSnapshots(snapshots), rules, host.wall());
	const written = await writePage(options.html, burn, inventory.name);
	return written.andThen(() =>
		createOutput(renderText(burn, inventory.name), {
			name: inventory.name,
			entries: snapshots.length,
			missing: missing.map(({entry}) => entry),
			...burn,
		}),
	);
}
