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

/** HTTP path at an entry that returns its service-level snapshot. */
export const REPORT_PATH = '/v1/operator/report';

/** Options of the report command. */
export type ReportOptions = Readonly<{
	credentials: Credentials;
	/** File to write the HTML report to; undefined to write none. */
	html: string | undefined;
	timeoutMs: number;
}>;

type CollectedSnapshots = Readonly<{
	snapshots: readonly ServiceLevelSnapshot[];
	missing: readonly EntryError[];
}>;

async function collectSnapshots(
	options: ReportOptions,
	session: ControlSession,
	agent: Agent,
): Promise<Result<CollectedSnapshots, CommandError>> {
	const progress = await readProgress(session, options.timeoutMs);
	if (progress.isErr()) {
		return err(progress.error);
	}

	const clientOptions = {credentials: options.credentials, agent};
	const answers = await Promise.all(
		progress.value.entries.map(async ({entry}) => {
			const answer = await callEntry(entry, REPORT_PATH, 'GET', clientOptions);
			return answer.andThen((body) => {
				const parsed = snapshotSchema.safeParse(body);
				return parsed.success
					? ok<ServiceLevelSnapshot>(parsed.data)
					: err({
							entry: entry.id,
							message: `${entry.address}: the response is not a service-level snapshot`,
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
	const answer = await session.callLeader<ConfigurationResponse>(
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

function writeHtmlReport(
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
			new VError(reason, 'the HTML report cannot be written').message,
		);
	}).map(() => undefined);
}

function failWithoutSnapshots(missing: readonly EntryError[]): CommandResult {
	if (missing.length === 0) {
		return fail('unavailable', 'the control group knows no entries');
	}

	const isForbidden = missing.every(isKeyRefused);
	return fail(
		isForbidden ? 'forbidden' : 'unavailable',
		missing.map(({message}) => message),
	);
}

/** Merges the snapshots of all entries and shows the burn rates. */
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

	const collected = await collectSnapshots(options, session, agent);
	if (collected.isErr()) {
		return err(collected.error);
	}

	const {snapshots, missing} = collected.value;
	if (snapshots.length === 0) {
		return failWithoutSnapshots(missing);
	}

	missing.forEach(({message}) => {
		host.writeMessage(`missing from the report: ${message}`);
	});
	const {inventory, rules} = cfg.value;
	const burn = computeBurn(mergeSnapshots(snapshots), rules, host.wall());
	const written = await writeHtmlReport(options.html, burn, inventory.name);
	return written.andThen(() =>
		createOutput(renderText(burn, inventory.name), {
			name: inventory.name,
			entries: snapshots.length,
			missing: missing.map(({entry}) => entry),
			...burn,
		}),
	);
}
