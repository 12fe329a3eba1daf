import type {ProgressResponse} from '@lovagevalve/wire';
import type {Result} from 'neverthrow';
import type {ControlSession} from './control-session.js';
import type {Host} from './host.js';
import {
	formatEntry,
	isInForce,
	judgeEntry,
	type Progress,
} from './judge-progress.js';
import {
	createOutput,
	fail,
	type CommandError,
	type CommandResult,
} from './outcome.js';

const POLL_INTERVAL_MS = 250;
const QUERY_TIMEOUT_MS = 2000;

/** What to follow and how long. */
export type FollowOptions = Readonly<{
	/** Absent: the version accepted last. */
	version: number | undefined;
	timeoutMs: number;
	isJson: boolean;
}>;

/** Reads how far the last version is in force. */
export async function readProgress(
	session: ControlSession,
	timeoutMs: number,
): Promise<Result<Progress, CommandError>> {
	return session.askLeader<ProgressResponse>(
		async (client, signal) => client.progress.query(undefined, {signal}),
		timeoutMs,
	);
}

type Seen = Map<string, string>;

function reportChanges(
	progress: Progress,
	version: number,
	seen: Seen,
	report: (entry: Progress['entries'][number]) => void,
): void {
	progress.entries.forEach((entry) => {
		const standing = judgeEntry(entry, version);
		// An entry that started again has a lease for each of its processes.
		const key = `${entry.entry.id}/${entry.entry.incarnation}`;
		if (seen.get(key) !== standing) {
			seen.set(key, standing);
			report(entry);
		}
	});
}

/** Shows at each entry when a version is in force, until it is everywhere. */
export async function follow(
	options: FollowOptions,
	session: ControlSession,
	host: Host,
): Promise<CommandResult> {
	const start = host.now();
	const seen: Seen = new Map();
	let {version} = options;

	const report = (entry: Progress['entries'][number], target: number) => {
		const elapsedMs = Math.round(host.now() - start);
		const line = options.isJson
			? JSON.stringify({
					elapsedMs,
					entry: entry.entry.id,
					standing: judgeEntry(entry, target),
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
			reportChanges(progress.value, target, seen, (entry) => {
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
