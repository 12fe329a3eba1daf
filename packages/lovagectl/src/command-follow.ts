import type {ProgressResponse} from '@lovagevalve/wire';
import type {Result} from 'neverthrow';
import type {ControlSession} from './control-session.js';
import type {Host} from './host.js';
import {
	formatEntry,
	isInForce,
	getEntryVersionStatus,
	type Progress,
} from './version-progress.js';
import {
	createOutput,
	fail,
	type CommandError,
	type CommandResult,
} from './outcome.js';

const POLL_INTERVAL_MS = 250;
const QUERY_TIMEOUT_MS = 2000;

/** Options of the follow command. */
export type FollowOptions = Readonly<{
	/** Defaults to the last accepted version. */
	version: number | undefined;
	timeoutMs: number;
	isJson: boolean;
}>;

/** Reads which configuration version each entry has applied. */
export async function readProgress(
	session: ControlSession,
	timeoutMs: number,
): Promise<Result<Progress, CommandError>> {
	return session.callLeader<ProgressResponse>(
		async (client, signal) => client.progress.query(undefined, {signal}),
		timeoutMs,
	);
}

/** Last status printed for each entry process. */
type ReportedStatuses = Map<string, string>;

function reportStatusChanges(
	progress: Progress,
	version: number,
	reported: ReportedStatuses,
	report: (entry: Progress['entries'][number]) => void,
): void {
	progress.entries.forEach((entry) => {
		const status = getEntryVersionStatus(entry, version);
		// A restarted entry has one lease per process until the old lease expires.
		const key = `${entry.entry.id}/${entry.entry.incarnation}`;
		if (reported.get(key) !== status) {
			reported.set(key, status);
			report(entry);
		}
	});
}

/** Prints status changes of each entry until all of them have a version in force. */
export async function follow(
	options: FollowOptions,
	session: ControlSession,
	host: Host,
): Promise<CommandResult> {
	const start = host.now();
	const reported: ReportedStatuses = new Map();
	let {version} = options;

	const report = (entry: Progress['entries'][number], target: number) => {
		const elapsedMs = Math.round(host.now() - start);
		const line = options.isJson
			? JSON.stringify({
					elapsedMs,
					entry: entry.entry.id,
					standing: getEntryVersionStatus(entry, target),
					appliedVersion: entry.appliedVersion,
				})
			: `${elapsedMs} ms: ${formatEntry(entry, target)}`;
		host.writeResult(line);
	};

	const poll = async (): Promise<CommandResult> => {
		const elapsedMs = Math.round(host.now() - start);
		const left = options.timeoutMs - elapsedMs;
		const progress = await readProgress(
			session,
			Math.max(1, Math.min(QUERY_TIMEOUT_MS, left)),
		);
		if (progress.isOk()) {
			const target = version ?? progress.value.version;
			version = target;
			reportStatusChanges(progress.value, target, reported, (entry) => {
				report(entry, target);
			});
			if (isInForce(progress.value, target)) {
				const tookMs = Math.round(host.now() - start);
				return createOutput(
					[`version ${target} is in force everywhere after ${tookMs} ms`],
					{version: target, inForceEverywhere: true, elapsedMs: tookMs},
				);
			}
		}

		if (left <= 0) {
			return progress.isErr()
				? fail(progress.error.kind, progress.error.messages)
				: fail(
						'timed-out',
						`version ${version} is not yet in force everywhere after ${elapsedMs} ms`,
						{version, inForceEverywhere: false},
					);
		}

		await host.sleep(POLL_INTERVAL_MS);
		return poll();
	};

	return poll();
}
