import {
	diffConfigurations,
	formatChange,
	type Change,
	type Configuration,
} from '@lovagevalve/inventory';
import type {ConfigurationResponse} from '@lovagevalve/wire';
import {err, type Result} from 'neverthrow';
import {
	readConfigurationFiles,
	type ConfigurationFiles,
} from './configuration-files.js';
import type {ControlSession} from './control-session.js';
import {
	createOutput,
	type CommandError,
	type CommandResult,
} from './outcome.js';

/** Changes that apply would make. */
export type Plan = Readonly<{
	/** Version that the change is based on; 0 if there is none yet. */
	baseVersion: number;
	configuration: Configuration;
	changes: readonly Change[];
}>;

/** Compares the files with the last accepted configuration. */
export async function createPlan(
	files: ConfigurationFiles,
	session: ControlSession,
	timeoutMs: number,
): Promise<Result<Plan, CommandError>> {
	const cfg = await readConfigurationFiles(files);
	if (cfg.isErr()) {
		return err(cfg.error);
	}

	const configuration = cfg.value;
	const current = await session.callLeader<ConfigurationResponse>(
		async (client, signal) =>
			client.readConfiguration.query(undefined, {signal}),
		timeoutMs,
	);
	return current.map((answer) => ({
		baseVersion: answer.version,
		configuration,
		changes: diffConfigurations(answer.configuration, configuration),
	}));
}

/** Formats a plan as text lines. */
export function formatPlan(plan: Plan): readonly string[] {
	const count =
		plan.changes.length === 1 ? '1 change' : `${plan.changes.length} changes`;
	return [
		`${count} against version ${plan.baseVersion}`,
		...plan.changes.map(formatChange),
	];
}

/** Shows the changes that `apply` would make. */
export async function plan(
	files: ConfigurationFiles,
	session: ControlSession,
	timeoutMs: number,
): Promise<CommandResult> {
	const created = await createPlan(files, session, timeoutMs);
	return created.andThen((read) =>
		createOutput(formatPlan(read), {
			baseVersion: read.baseVersion,
			changes: read.changes,
		}),
	);
}
